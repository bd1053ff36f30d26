package comfreypath.router.request

import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.verdict.AttemptOutcome
import comfreypath.coordination.verdict.UnknownReason
import comfreypath.router.sending.EndpointExchange
import comfreypath.router.sending.SendResult
import comfreypath.router.sending.toUnknownReason
import comfreypath.transport.BodyBuffer
import comfreypath.transport.BodyGrowth
import comfreypath.transport.MemoryBudget
import comfreypath.transport.ResponsePart
import kotlinx.coroutines.withTimeoutOrNull

private const val MAX_RESPONSE_BYTES = 16_777_216

/** A shorter response that finds no memory is not to blame for that. */
private const val LONG_RESPONSE_BYTES = 262_144
private const val REFUSAL_BODY_MILLISECONDS = 100L

/**
 * The outcome of an attempt and the result that it produced for the caller.
 *
 * @property result the caller's result if no further attempt is made; null if the attempt gave none
 * @property connectionReusable true when the endpoint's connection can carry another exchange
 */
class CompletedAttempt(
    val outcome: AttemptOutcome,
    val result: RelayResult? = null,
    val connectionReusable: Boolean = false,
)

/** Reads the bodies of endpoints' responses to their end. */
object ResponseReader {
    /** Reads a response of [endpoint] into memory that is taken from [memory]. */
    suspend fun readFully(
        endpoint: Endpoint,
        sent: SendResult.Responding,
        memory: MemoryBudget.Account,
    ): CompletedAttempt {
        val body = BodyBuffer(MAX_RESPONSE_BYTES, memory)
        var delivered = false
        try {
            return read(endpoint, sent, body).also { delivered = it.result != null }
        } finally {
            if (!delivered) body.discard()
        }
    }

    private suspend fun read(endpoint: Endpoint, sent: SendResult.Responding, body: BodyBuffer): CompletedAttempt {
        val head = sent.head
        if (head.notRun) {
            // The head says that the request has not run; the body is read only to keep the connection.
            val complete = withTimeoutOrNull(REFUSAL_BODY_MILLISECONDS) { readBody(sent.exchange, body) == null }
            return CompletedAttempt(notRun(head), connectionReusable = complete ?: false)
        }
        val failure = readBody(sent.exchange, body)
        return if (failure != null) {
            CompletedAttempt(AttemptOutcome.Unknown(failure))
        } else {
            val response = FullResponse(head.status, head.forwardedHeaders, body.toByteArray())
            val result = RelayResult.Response(response, endpoint.name)
            CompletedAttempt(AttemptOutcome.Answered(head.status), result, connectionReusable = true)
        }
    }

    /** Reads the rest of the response into [body]; returns why it is incomplete, or null. */
    private suspend fun readBody(exchange: EndpointExchange, body: BodyBuffer): UnknownReason? {
        var growth = BodyGrowth.ADDED
        var part = exchange.next()
        while (part is ResponsePart.Bytes && growth == BodyGrowth.ADDED) {
            growth = body.add(part.bytes)
            if (growth == BodyGrowth.ADDED) part = exchange.next()
        }
        return when (part) {
            ResponsePart.End -> null
            is ResponsePart.Aborted -> part.reason.toUnknownReason()
            is ResponsePart.Bytes -> {
                val long = growth == BodyGrowth.TOO_LONG || body.size > LONG_RESPONSE_BYTES
                if (long) UnknownReason.BODY_TOO_LONG else UnknownReason.OUT_OF_MEMORY
            }
            is ResponsePart.Head -> UnknownReason.MALFORMED
        }
    }

    private fun notRun(head: EndpointResponseHead): AttemptOutcome =
        if (head.wrongEndpoint) AttemptOutcome.WrongEndpoint else AttemptOutcome.NotRun(head.status, head.retryAfter)

    /** Relays a stream through [relay]. */
    suspend fun relayStream(relay: StreamRelay, sent: SendResult.Responding): CompletedAttempt =
        when (val end = relay.relayFrom(sent.exchange, sent.head)) {
            StreamEnd.Complete -> CompletedAttempt(
                AttemptOutcome.Answered(sent.head.status),
                RelayResult.Streamed(complete = true),
                connectionReusable = true,
            )
            is StreamEnd.Aborted -> CompletedAttempt(AttemptOutcome.Unknown(end.reason.toUnknownReason()))
            StreamEnd.EventTooLong -> CompletedAttempt(AttemptOutcome.Unknown(UnknownReason.EVENT_TOO_LONG))
            StreamEnd.OutOfMemory -> CompletedAttempt(AttemptOutcome.Unknown(UnknownReason.OUT_OF_MEMORY))
            StreamEnd.NoContinuation -> CompletedAttempt(AttemptOutcome.Unknown(UnknownReason.NO_CONTINUATION))
            StreamEnd.Truncated -> CompletedAttempt(AttemptOutcome.Unknown(UnknownReason.TRUNCATED))
        }
}
