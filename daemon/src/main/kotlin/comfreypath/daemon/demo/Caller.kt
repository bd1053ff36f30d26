package comfreypath.daemon.demo

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import comfreypath.openai.ChatCompletionChunk
import comfreypath.openai.ChatCompletionRequest
import comfreypath.openai.ErrorBody
import comfreypath.openai.OpenAiHeaders
import comfreypath.openai.ServerSentEvent
import comfreypath.openai.ServerSentEventParser
import comfreypath.openai.Usage
import comfreypath.standins.Booking
import comfreypath.standins.BookingConfirmation
import comfreypath.transport.Address
import comfreypath.transport.ExchangeFailure
import comfreypath.transport.HttpClient
import comfreypath.transport.HttpExchange
import comfreypath.transport.OutgoingRequest
import comfreypath.transport.ResponsePart
import comfreypath.transport.decodeJson
import comfreypath.transport.wireJson
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpMethod
import java.time.Duration

private const val OK_STATUS = 200
private const val TIMEOUT_SECONDS = 30L

/** The outcome of one request for its caller. */
sealed interface CallerOutcome {
    /** A complete response. */
    data class Answered(
        val text: String,
        val usage: Usage? = null,
        val timeToFirstChunk: Duration? = null,
    ) : CallerOutcome

    /** A refusal with its verdict. */
    data class Refused(val body: ErrorBody) : CallerOutcome

    /** The request was not sent, because the router could not be reached. */
    data object NotSent : CallerOutcome

    /** Neither a complete response nor a refusal. */
    data class Lost(val reason: String) : CallerOutcome
}

/** Calls routers as an application of a team does. Confined to [loop]. */
class Caller(loop: EventLoop) {
    private val client = HttpClient(loop)

    /** Requests a chat completion and reads the response as a stream of events. */
    suspend fun chat(address: Address, key: String, request: ChatCompletionRequest): CallerOutcome {
        val startedNanoseconds = System.nanoTime()
        return client.exchange(address, post("/v1/chat/completions", key, wireJson.encodeToString(request))).fold(
            success = { exchange ->
                if (exchange.status == OK_STATUS) readStream(exchange, startedNanoseconds) else readRefusal(exchange)
            },
            failure = { outcomeOf(it) },
        )
    }

    /** Makes a booking under an idempotency key. */
    suspend fun book(
        address: Address,
        key: String,
        path: String,
        booking: Booking,
        idempotencyKey: String,
    ): CallerOutcome {
        val request = post(
            path,
            key,
            wireJson.encodeToString(booking),
            mapOf(OpenAiHeaders.IDEMPOTENCY_KEY to idempotencyKey),
        )
        return client.exchange(address, request).fold(
            success = { exchange ->
                if (exchange.status == OK_STATUS) readBooking(exchange) else readRefusal(exchange)
            },
            failure = { outcomeOf(it) },
        )
    }

    private fun outcomeOf(failure: ExchangeFailure): CallerOutcome =
        if (failure.sent) CallerOutcome.Lost("no response: $failure") else CallerOutcome.NotSent

    private fun post(
        path: String,
        key: String,
        body: String,
        extraHeaders: Map<String, String> = emptyMap(),
    ) = OutgoingRequest(
        method = HttpMethod.POST,
        uri = path,
        headers = mapOf("authorization" to "Bearer $key", "content-type" to "application/json") + extraHeaders,
        body = body.encodeToByteArray(),
        headTimeout = Duration.ofSeconds(TIMEOUT_SECONDS),
        chunkTimeout = Duration.ofSeconds(TIMEOUT_SECONDS),
    )

    private suspend fun readBooking(exchange: HttpExchange): CallerOutcome = exchange.body().fold(
        success = { body ->
            decodeJson<BookingConfirmation>(body.decodeToString()).fold(
                success = { CallerOutcome.Answered(it.receipt) },
                failure = { CallerOutcome.Lost("malformed response: $it") },
            )
        },
        failure = { CallerOutcome.Lost("incomplete response: $it") },
    )

    private suspend fun readRefusal(exchange: HttpExchange): CallerOutcome {
        val body = exchange.body().getOrElse { return CallerOutcome.Lost("broken refusal: $it") }
        return decodeJson<ErrorBody>(body.decodeToString()).fold(
            success = { CallerOutcome.Refused(it) },
            failure = { CallerOutcome.Lost("status ${exchange.status} without a verdict") },
        )
    }

    private suspend fun readStream(exchange: HttpExchange, startedNanoseconds: Long): CallerOutcome {
        val parser = ServerSentEventParser()
        val response = StreamedResponse(startedNanoseconds)
        var part = exchange.next()
        while (part is ResponsePart.Bytes) {
            parser.feed(part.bytes).forEach { response.accept(it) }
            part = exchange.next()
        }
        return when (part) {
            ResponsePart.End -> response.outcome()
            is ResponsePart.Aborted -> CallerOutcome.Lost("stream aborted: ${part.reason}")
            is ResponsePart.Bytes, is ResponsePart.Head -> CallerOutcome.Lost("another response within the stream")
        }
    }
}

/** Accumulates the events of a streamed response. */
private class StreamedResponse(private val startedNanoseconds: Long) {
    private val text = StringBuilder()
    private var usage: Usage? = null
    private var timeToFirstChunk: Duration? = null
    private var done = false
    private var error: ErrorBody? = null

    fun accept(event: ServerSentEvent) {
        when {
            event.event == "error" -> error = wireJson.decodeFromString<ErrorBody>(event.data)
            event.data == ServerSentEvent.DONE -> done = true
            else -> acceptChunk(wireJson.decodeFromString<ChatCompletionChunk>(event.data))
        }
    }

    private fun acceptChunk(chunk: ChatCompletionChunk) {
        timeToFirstChunk = timeToFirstChunk ?: Duration.ofNanos(System.nanoTime() - startedNanoseconds)
        text.append(chunk.choices.firstOrNull()?.delta?.content.orEmpty())
        usage = chunk.usage ?: usage
    }

    fun outcome(): CallerOutcome {
        val refusal = error
        return when {
            refusal != null -> CallerOutcome.Refused(refusal)
            done -> CallerOutcome.Answered(text.toString(), usage, timeToFirstChunk)
            else -> CallerOutcome.Lost("the stream ended before its last event")
        }
    }
}
