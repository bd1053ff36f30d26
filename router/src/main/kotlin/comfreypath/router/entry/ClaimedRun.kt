package comfreypath.router.entry

import comfreypath.transport.whole
import comfreypath.coordination.claims.AttemptId
import comfreypath.coordination.claims.ClaimAnswer
import comfreypath.coordination.claims.ClaimKey
import comfreypath.coordination.claims.ClaimOperation
import comfreypath.coordination.claims.RecordedAnswer
import comfreypath.coordination.model.Refusal
import comfreypath.coordination.model.RefusalCode
import comfreypath.coordination.model.Verdict
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import comfreypath.protocols.HeaderNames
import comfreypath.router.RouterContext
import comfreypath.router.claims.Claims
import comfreypath.router.endpoint.DispatchEvent
import comfreypath.router.endpoint.PlainAnswer
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.time.Duration

private const val LONGEST_RECORDED_BODY = 8_192

/** Runs a request under an idempotency key: it is claimed before it is sent, and its answer is recorded after. */
internal class ClaimedRun(
    private val context: RouterContext,
    private val relay: PlainRelay,
    private val claims: Claims,
    private val write: suspend (CallerExchange, DispatchEvent) -> Unit,
) {
    /** Claims the key, and then runs the request or repeats the answer of the one that ran. */
    suspend fun run(exchange: CallerExchange, job: PlainJob, idempotencyKey: String) {
        val team = requireNotNull(exchange.team) { "the authentication filter comes first" }
        val key = ClaimKey(team.name, idempotencyKey)
        val attempt = AttemptId(exchange.id.text)
        val fingerprint = fingerprint(exchange)
        when (val claimed = claim(ClaimOperation.Claim(key, attempt, fingerprint))) {
            is ClaimAnswer.Granted -> write(exchange, runClaimed(exchange, job, key, attempt))
            is ClaimAnswer.Taken -> repeat(exchange, claimed, fingerprint)
            is ClaimAnswer.Stored, is ClaimAnswer.Unavailable -> refuseUnclaimed(exchange, key, attempt, claimed)
        }
    }

    /** Claims the key; while another attempt holds it, waits a while for that one's answer. */
    private suspend fun claim(operation: ClaimOperation.Claim): ClaimAnswer {
        val patience = context.now() + ANSWER_PATIENCE
        var claimed = claims.submit(operation)
        while (claimed is ClaimAnswer.Taken && claimed.answer == null && context.now() < patience) {
            delay(ANSWER_POLL.toMillis())
            claimed = claims.submit(operation)
        }
        return claimed
    }

    private fun fingerprint(exchange: CallerExchange): Long = mix(
        hashOf("${exchange.request.method} ${exchange.request.uri}"),
        hashOf(exchange.request.text()),
    )

    private suspend fun runClaimed(
        exchange: CallerExchange,
        job: PlainJob,
        key: ClaimKey,
        attempt: AttemptId,
    ): DispatchEvent = context.scope.async {
        val event = relay.run(exchange, job)
        context.scope.launch { settle(key, attempt, event) }
        event
    }.await()

    /** Records the answer, or gives the key back when the request was never sent. */
    private suspend fun settle(key: ClaimKey, attempt: AttemptId, event: DispatchEvent) {
        when (event) {
            is DispatchEvent.Answer -> claims.submit(ClaimOperation.Record(key, attempt, event.answer.toRecord()))
            is DispatchEvent.Refused -> claims.submit(ClaimOperation.Release(key, attempt))
            else -> Unit
        }
    }

    private fun PlainAnswer.toRecord() = RecordedAnswer(
        status = status,
        contentType = contentType ?: "application/octet-stream",
        body = body.takeIf { it.length <= LONGEST_RECORDED_BODY },
    )

    private suspend fun repeat(exchange: CallerExchange, taken: ClaimAnswer.Taken, fingerprint: Long) {
        val answer = taken.answer
        val body = answer?.body
        when {
            taken.fingerprint != fingerprint && taken.fingerprint != 0L ->
                exchange.refuse(Refusal(RefusalCode.KEY_REUSED, "the key was used before with another request"))
            answer == null || body == null -> exchange.refuse(OUTCOME_UNKNOWN)
            else -> {
                val headers = mapOf("content-type" to answer.contentType, HeaderNames.REPLAYED to "true") +
                    (HeaderNames.REQUEST_ID to exchange.id.text)
                val status = HttpResponseStatus.valueOf(answer.status)
                exchange.writer.whole(status, headers, body.encodeToByteArray())
            }
        }
    }

    private suspend fun refuseUnclaimed(
        exchange: CallerExchange,
        key: ClaimKey,
        attempt: AttemptId,
        answer: ClaimAnswer,
    ) {
        context.scope.launch { claims.submit(ClaimOperation.Release(key, attempt)) }
        val reason = (answer as? ClaimAnswer.Unavailable)?.reason.orEmpty()
        exchange.refuse(
            Refusal(RefusalCode.CLAIMS_UNAVAILABLE, "the key cannot be claimed: $reason", retryAfter = RETRY)
        )
    }

    private companion object {
        val RETRY: Duration = Duration.ofSeconds(2)
        val ANSWER_PATIENCE: Duration = Duration.ofSeconds(3)
        val ANSWER_POLL: Duration = Duration.ofMillis(50)
    }
}

internal val OUTCOME_UNKNOWN = Refusal(
    RefusalCode.OUTCOME_UNKNOWN,
    "the first request with this key may have run, and its answer is not known",
    Verdict.MAY_HAVE_RUN,
)
