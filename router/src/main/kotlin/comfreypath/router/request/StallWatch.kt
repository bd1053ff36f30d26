package comfreypath.router.request

import comfreypath.coordination.health.HealthEvidence
import comfreypath.coordination.verdict.AttemptOutcome
import comfreypath.coordination.verdict.RetryState
import comfreypath.coordination.verdict.StallDecision
import comfreypath.coordination.verdict.StallPolicy
import comfreypath.coordination.verdict.Suspicion
import comfreypath.coordination.verdict.UnknownReason
import comfreypath.coordination.verdict.WaitReason
import comfreypath.router.sending.ResponseActivity
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.time.Duration

/** Abandons the attempts of one request at silent endpoints once another endpoint has been reserved for it. */
internal class StallWatch(
    dependencies: RelayDependencies,
    exchange: CallerExchange,
    private val targets: AttemptTargets,
    private val log: RelayLog,
) {
    private val context = dependencies.context
    private val trackers = dependencies.trackers
    private val latencyTarget = exchange.route.latencyTarget

    /** Tracks the response of the endpoint in [selection]. */
    fun activity(selection: Selection): ResponseActivity {
        val name = selection.endpoint.name
        return ResponseActivity(context::now) { silence ->
            val entry = trackers.endpoints.entry(name)
            entry.recordHeard(context.now())
            trackers.dataCentres.recordHeard(selection.endpoint)
            if (silence >= StallPolicy.timeout(latencyTarget, entry.patience(context.now()))) {
                log.endpointWentOn(name, silence)
                trackers.endpoints.observe(name, HealthEvidence.ANSWERED)
            }
        }
    }

    /** Runs [attempt] to its end, or until the request leaves the endpoint in [selection] because it is silent. */
    suspend fun run(
        selection: Selection,
        state: RetryState,
        activity: ResponseActivity,
        attempt: suspend () -> CompletedAttempt,
    ): CompletedAttempt = coroutineScope {
        // Undispatched, because the selection holds only until the event loop runs something else.
        val running = async(start = CoroutineStart.UNDISPATCHED) { attempt() }
        val watch = launch {
            awaitStall(selection, state, activity)
            running.cancel(CancellationException("the endpoint is silent"))
        }
        try {
            running.await()
        } catch (cancellation: CancellationException) {
            if (!targets.hasReserved) throw cancellation
            CompletedAttempt(AttemptOutcome.Unknown(silenceReason(selection, activity)))
        } finally {
            watch.cancel()
        }
    }

    private suspend fun awaitStall(
        selection: Selection,
        state: RetryState,
        activity: ResponseActivity,
    ) {
        var lastReason: WaitReason? = null
        while (true) {
            val silentSince = activity.awaitingSince
            val now = context.now()
            val suspicion = Suspicion(
                patience = trackers.endpoints.entry(selection.endpoint.name).patience(now),
                dataCentreOut = trackers.dataCentres.isOut(selection.endpoint),
            )
            val decision = StallPolicy.decide(state, silentSince, now, suspicion) {
                targets.reserve(selection, Duration.between(silentSince ?: now, now))
            }
            if (decision !is StallDecision.KeepWaiting) return
            val reason = decision.reason
            if (reason != null && reason != lastReason) {
                log.waitingOn(selection.endpoint.name, reason, silentSince)
            }
            lastReason = reason
            delay(decision.time.toMillis().coerceAtLeast(1))
        }
    }

    /** An endpoint that has responded to other requests meanwhile is not silent, only slow. */
    private fun silenceReason(selection: Selection, activity: ResponseActivity): UnknownReason {
        val silentSince = activity.awaitingSince ?: context.now()
        val heardAt = trackers.endpoints.entry(selection.endpoint.name).lastHeardAt
        return if (heardAt > silentSince) UnknownReason.SLOW else UnknownReason.STALLED
    }
}
