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
 * @property complete true when the endpoint's connection can carry another exchange
 */
class Attempt(val outcome: AttemptOutcome, val result: RelayResult? = null, val complete: Boolean = false)

/** Reads the answers of endpoints to their end. */
object AnswerReader {
    /** Reads a whole answer, or what takes its place. */
    suspend fun read(endpoint: Endpoint, sent: SendResult.Answering): Attempt {
        val body = ByteArrayOutputStream()
        val end = readBody(sent.exchange, body)
        val head = sent.head
        return when {
            head.notRun -> Attempt(notRun(head), complete = end == null)
            end != null -> Attempt(AttemptOutcome.Unknown(end))
            else -> {
                val answer = WholeAnswer(head.status, head.forwarded, body.toByteArray())
                val result = RelayResult.Answer(answer, endpoint.name)
                Attempt(AttemptOutcome.Answered(head.status), result, complete = true)
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

    private fun notRun(head: EndpointHead): AttemptOutcome =
        if (head.wrongEndpoint) AttemptOutcome.WrongEndpoint else AttemptOutcome.NotRun(head.status, head.retryAfter)

    /** Passes a stream on through [relay], and leaves an endpoint that is silent for [silence]. */
    suspend fun pass(relay: StreamRelay, sent: SendResult.Answering, silence: Duration?): Attempt =
        when (val end = relay.pass(sent.exchange, silence)) {
            StreamEnd.Complete -> Attempt(
                AttemptOutcome.Answered(sent.head.status),
                RelayResult.Streamed(complete = true),
                complete = true,
            )
            is StreamEnd.Broken -> Attempt(AttemptOutcome.Unknown(end.reason.toUnknown()))
            StreamEnd.Silent -> Attempt(AttemptOutcome.Unknown(UnknownReason.TIMED_OUT))
        }
}
