package comfreypath.router.request

import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.verdict.AttemptOutcome
import comfreypath.coordination.verdict.UnknownReason
import comfreypath.router.sending.EndpointExchange
import comfreypath.router.sending.SendResult
import comfreypath.router.sending.toUnknown
import comfreypath.transport.ResponsePart
import java.io.ByteArrayOutputStream
import java.time.Duration

private const val LARGEST_ANSWER_BYTES = 16_777_216

/**
 * An attempt that is over.
 *
 * @property result what the caller gets if this attempt is the last
 * @property connectionReusable true when the endpoint's connection can carry another exchange
 */
class CompletedAttempt(
    val outcome: AttemptOutcome,
    val result: RelayResult? = null,
    val connectionReusable: Boolean = false,
)

/** Reads the answers of endpoints to their end. */
object ResponseReader {
    /** Reads a whole answer, or what takes its place. */
    suspend fun readFully(endpoint: Endpoint, sent: SendResult.Answering): CompletedAttempt {
        val body = ByteArrayOutputStream()
        val end = readBody(sent.exchange, body)
        val head = sent.head
        return when {
            head.notRun -> CompletedAttempt(notRun(head), connectionReusable = end == null)
            end != null -> CompletedAttempt(AttemptOutcome.Unknown(end))
            else -> {
                val answer = FullResponse(head.status, head.forwardedHeaders, body.toByteArray())
                val result = RelayResult.Response(answer, endpoint.name)
                CompletedAttempt(AttemptOutcome.Answered(head.status), result, connectionReusable = true)
            }
        }
    }

    /** Reads the body into [body]; returns why it is not whole, or null. */
    private suspend fun readBody(exchange: EndpointExchange, body: ByteArrayOutputStream): UnknownReason? {
        var part = exchange.next()
        while (part is ResponsePart.Bytes && body.size() <= LARGEST_ANSWER_BYTES) {
            body.writeBytes(part.bytes)
            part = exchange.next()
        }
        return when (part) {
            ResponsePart.End -> null
            is ResponsePart.Broken -> part.reason.toUnknown()
            is ResponsePart.Bytes, is ResponsePart.Head -> UnknownReason.MALFORMED
        }
    }

    private fun notRun(head: EndpointResponseHead): AttemptOutcome =
        if (head.wrongEndpoint) AttemptOutcome.WrongEndpoint else AttemptOutcome.NotRun(head.status, head.retryAfter)

    /** Passes a stream on through [relay], and leaves an endpoint that is silent for [silence]. */
    suspend fun relayStream(relay: StreamRelay, sent: SendResult.Answering, silence: Duration?): CompletedAttempt =
        when (val end = relay.relayFrom(sent.exchange, silence)) {
            StreamEnd.Complete -> CompletedAttempt(
                AttemptOutcome.Answered(sent.head.status),
                RelayResult.Streamed(complete = true),
                connectionReusable = true,
            )
            is StreamEnd.Aborted -> CompletedAttempt(AttemptOutcome.Unknown(end.reason.toUnknown()))
            StreamEnd.Stalled -> CompletedAttempt(AttemptOutcome.Unknown(UnknownReason.TIMED_OUT))
        }
}
