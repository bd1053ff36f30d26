package comfreypath.router.entry

import comfreypath.transport.start
import comfreypath.coordination.model.Refusal
import comfreypath.protocols.ChatCompletion
import comfreypath.protocols.ChatCompletionChunk
import comfreypath.protocols.ChatMessage
import comfreypath.protocols.CompletionChoice
import comfreypath.protocols.HeaderNames
import comfreypath.protocols.ServerSentEvent
import comfreypath.protocols.wireJson
import comfreypath.transport.json
import io.netty.handler.codec.http.HttpResponseStatus

/** Where the pieces of a chat's answer go. */
internal interface ChatSink {
    /** True once the caller has seen a part of the answer, so that another answer cannot replace it. */
    val begun: Boolean

    /** Takes the next piece. */
    suspend fun piece(number: Int, data: String)

    /** The answer is complete. */
    suspend fun complete()

    /** No whole answer comes. */
    suspend fun refuse(refusal: Refusal)

    /** Drops the pieces so far, because another endpoint starts over. */
    fun restart()
}

/** Writes each piece to the caller as it comes. */
internal class StreamingSink(private val exchange: CallerExchange) : ChatSink {
    override var begun = false
        private set

    override suspend fun piece(number: Int, data: String) {
        begin()
        exchange.writer.piece(ServerSentEvent(data, id = "${exchange.id}:$number").encode())
    }

    private suspend fun begin() {
        if (!begun) {
            begun = true
            val headers = mapOf(
                "content-type" to "text/event-stream",
                "cache-control" to "no-cache",
                HeaderNames.REQUEST_ID to exchange.id.text,
            )
            exchange.writer.start(HttpResponseStatus.OK, headers)
        }
    }

    override suspend fun complete() {
        begin()
        exchange.writer.piece(ServerSentEvent(ServerSentEvent.DONE).encode())
        exchange.writer.end()
    }

    override suspend fun refuse(refusal: Refusal) {
        if (begun) {
            exchange.onRefusal(refusal)
            val body = wireJson.encodeToString(refusal.toErrorBody(exchange.id))
            exchange.writer.piece(ServerSentEvent(body, event = "error").encode())
            exchange.writer.end()
        } else {
            exchange.refuse(refusal)
        }
    }

    override fun restart() = Unit
}

/** Gathers the pieces and writes the answer as one JSON document. */
internal class WholeSink(private val exchange: CallerExchange, private val model: String) : ChatSink {
    private val text = StringBuilder()
    private var last: ChatCompletionChunk? = null

    override val begun = false

    override suspend fun piece(number: Int, data: String) {
        val chunk = wireJson.decodeFromString<ChatCompletionChunk>(data)
        text.append(chunk.choices.firstOrNull()?.delta?.content.orEmpty())
        last = chunk
    }

    override suspend fun complete() {
        val choice = CompletionChoice(
            message = ChatMessage(role = "assistant", content = text.toString()),
            finishReason = last?.choices?.firstOrNull()?.finishReason,
        )
        val completion = ChatCompletion(
            id = exchange.id.text,
            created = last?.created ?: 0,
            model = model,
            choices = listOf(choice),
            usage = last?.usage,
        )
        exchange.writer.json(HttpResponseStatus.OK, completion, mapOf(HeaderNames.REQUEST_ID to exchange.id.text))
    }

    override suspend fun refuse(refusal: Refusal) = exchange.refuse(refusal)

    override fun restart() {
        text.clear()
        last = null
    }
}
