package comfreypath.router.claims

import comfreypath.coordination.claims.AttemptId
import comfreypath.coordination.claims.ClaimKey
import comfreypath.coordination.claims.ClaimOperation
import comfreypath.coordination.claims.ClaimResult
import comfreypath.coordination.claims.RecordedResponse
import comfreypath.coordination.model.TeamName
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import comfreypath.coordination.routing.RouteKind
import comfreypath.router.RouterContext
import comfreypath.router.request.CallerExchange
import comfreypath.router.request.FullResponse
import comfreypath.router.request.Refusal
import comfreypath.router.request.RefusalCode
import comfreypath.router.request.Relay
import comfreypath.router.request.RelayResult
import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.time.Duration

private const val MAX_RECORDED_BODY_BYTES = 8_192
private const val REPLAYED_HEADER = "idempotency-replayed"

/**
 * Runs a non-idempotent request at most once for each idempotency key: the key is claimed before the request is sent,
 * and the response is recorded afterwards. Requests without a key are relayed unchanged.
 */
class IdempotentRelay(
    private val context: RouterContext,
    private val claims: ClaimCoordinator,
    private val relay: Relay,
) {
    /** Relays the request, or replays the recorded response if its key has already been used. */
    suspend fun run(exchange: CallerExchange): RelayResult {
        val key = exchange.request.idempotencyKey
        if (key == null || exchange.route.kind != RouteKind.NON_IDEMPOTENT) {
            return relay(exchange)
        }
        val claimKey = ClaimKey(exchange.team ?: TeamName(""), key)
        val attempt = AttemptId(exchange.request.id.text)
        val fingerprint = fingerprint(exchange)
        return when (val claimed = claim(ClaimOperation.Claim(claimKey, attempt, fingerprint))) {
            is ClaimResult.Granted -> runClaimed(exchange, claimKey, attempt)
            is ClaimResult.Taken -> replay(exchange, claimed, fingerprint)
            is ClaimResult.Stored, is ClaimResult.Unavailable -> refuseUnclaimed(claimKey, attempt, claimed)
        }
    }

    /** Claims the key; while another attempt holds it, waits up to [MAX_RESPONSE_WAIT] for that attempt's response. */
    private suspend fun claim(operation: ClaimOperation.Claim): ClaimResult {
        val waitDeadline = context.now() + MAX_RESPONSE_WAIT
        var claimed = claims.submit(operation)
        while (claimed is ClaimResult.Taken && claimed.response == null && context.now() < waitDeadline) {
            delay(POLL_INTERVAL.toMillis())
            claimed = claims.submit(operation)
        }
        return claimed
    }

    private fun fingerprint(exchange: CallerExchange): Long = mix(
        hashOf("${exchange.request.method} ${exchange.request.uri}"),
        hashOf(exchange.request.body.decodeToString()),
    )

    private suspend fun runClaimed(exchange: CallerExchange, key: ClaimKey, attempt: AttemptId): RelayResult {
        exchange.memory.retain()
        val run = context.scope.async {
            val result = relay(exchange)
            context.scope.launch { recordOrRelease(key, attempt, result) }
            result
        }
        run.invokeOnCompletion { exchange.memory.close() }
        return run.await()
    }

    /** Records the response, or releases the key if the request has not run. */
    private suspend fun recordOrRelease(key: ClaimKey, attempt: AttemptId, result: RelayResult) {
        when (result) {
            is RelayResult.Response -> claims.submit(ClaimOperation.Record(key, attempt, result.response.toRecord()))
            is RelayResult.Refused ->
                if (!result.refusal.code.mayHaveRun) claims.submit(ClaimOperation.Release(key, attempt))
            is RelayResult.Streamed -> Unit
        }
    }

    private fun FullResponse.toRecord() = RecordedResponse(
        status = status,
        contentType = headers.get("content-type") ?: "application/octet-stream",
        body = body.takeIf { it.size <= MAX_RECORDED_BODY_BYTES }?.decodeToString(),
    )

    private fun replay(exchange: CallerExchange, taken: ClaimResult.Taken, fingerprint: Long): RelayResult {
        val stored = taken.response
        val body = stored?.body
        return when {
            taken.fingerprint != fingerprint && taken.fingerprint != 0L -> RelayResult.Refused(
                Refusal(RefusalCode.KEY_REUSED, "the key was used before with another request"),
            )
            stored == null || body == null -> RelayResult.Refused(
                Refusal(
                    RefusalCode.OUTCOME_UNKNOWN,
                    "the first request with this key may have run, and its answer is not known",
                ),
            )
            else -> {
                val headers = DefaultHttpHeaders().set("content-type", stored.contentType).set(REPLAYED_HEADER, "true")
                context.log.record("answer_replayed", "request" to exchange.request.id, "status" to stored.status)
                RelayResult.Response(FullResponse(stored.status, headers, body.encodeToByteArray()), endpoint = null)
            }
        }
    }

    private fun refuseUnclaimed(key: ClaimKey, attempt: AttemptId, result: ClaimResult): RelayResult {
        context.scope.launch { claims.submit(ClaimOperation.Release(key, attempt)) }
        val reason = (result as? ClaimResult.Unavailable)?.reason.orEmpty()
        return RelayResult.Refused(
            Refusal(RefusalCode.CLAIMS_UNAVAILABLE, "the key cannot be claimed: $reason", retryAfter = RETRY_AFTER),
        )
    }

    private companion object {
        val RETRY_AFTER: Duration = Duration.ofSeconds(2)
        val MAX_RESPONSE_WAIT: Duration = Duration.ofSeconds(3)
        val POLL_INTERVAL: Duration = Duration.ofMillis(50)
    }
}
