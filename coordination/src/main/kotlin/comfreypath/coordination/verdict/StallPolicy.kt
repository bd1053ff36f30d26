package comfreypath.coordination.verdict

import java.time.Duration
import java.time.Instant

private const val STALL_TIMEOUT_FACTOR = 3L
private const val MIN_STALL_TIMEOUT_MILLISECONDS = 1_000L
private const val RECHECK_MILLISECONDS = 100L

/** A short request waits for a silent endpoint for this part of its time, as a divisor; another has the rest. */
private const val SHORT_REQUEST_DIVISOR = 2L

/** Whether another endpoint can take a request now. */
enum class Alternative {
    /** Another endpoint and a retry have been reserved. */
    RESERVED,

    /** No other endpoint can take the request. */
    NO_ENDPOINT,

    /** The retry budget is exhausted. */
    NO_RETRY,
}

/** The next step for an attempt whose endpoint may be silent. */
sealed interface StallDecision {
    /** Abandon the attempt, then send the request to the endpoint that has been reserved. */
    data object MoveOn : StallDecision

    /** Go on waiting at the same endpoint for [time], then decide again; [reason] is null if it is not silent. */
    data class KeepWaiting(val time: Duration, val reason: WaitReason?) : StallDecision
}

/** Why a request stays at a silent endpoint. */
enum class WaitReason {
    /** The request must not run again. */
    NO_ATTEMPT_LEFT,

    /** The deadline is too close for another attempt. */
    NO_TIME_LEFT,

    /** No other endpoint can take the request. */
    NO_OTHER_ENDPOINT,

    /** The retry budget is exhausted. */
    NO_RETRY_LEFT,
}

/**
 * What is known of a silent endpoint besides its silence.
 *
 * @property patience how many times longer than usual the endpoint, if sound, may take now
 * @property dataCentreOut true if none of the endpoints of its data centre responds
 */
data class Suspicion(val patience: Double = 1.0, val dataCentreOut: Boolean = false)

/**
 * Decides when a request leaves a silent endpoint.
 *
 * A sound endpoint may be silent for a second and go on, so the request leaves only if another endpoint takes it.
 */
object StallPolicy {
    private val minTimeout: Duration = Duration.ofMillis(MIN_STALL_TIMEOUT_MILLISECONDS)
    private val recheckInterval: Duration = Duration.ofMillis(RECHECK_MILLISECONDS)

    /**
     * How long an endpoint may send nothing before a request with this latency target may leave it.
     *
     * @param patience how many times longer than usual a sound endpoint may take now
     */
    fun timeout(latencyTarget: Duration, patience: Double = 1.0): Duration {
        val usual = maxOf(minTimeout, latencyTarget.multipliedBy(STALL_TIMEOUT_FACTOR))
        return if (patience > 1.0) Duration.ofMillis((usual.toMillis() * patience).toLong()) else usual
    }

    /**
     * How long a request waits for an endpoint that has been silent since [silentSince].
     *
     * A whole response whose loss would otherwise be noticed only when the caller's time is almost over is awaited for
     * half of that time. In a data centre that is out, nothing is awaited for longer than the latency target.
     */
    private fun timeout(state: RetryState, silentSince: Instant, suspicion: Suspicion): Duration {
        val target = state.route.latencyTarget
        val usual = timeout(target, suspicion.patience)
        val half = Duration.between(silentSince, state.deadline).dividedBy(SHORT_REQUEST_DIVISOR)
        return when {
            suspicion.dataCentreOut -> minOf(usual, target)
            state.route.streaming -> usual
            else -> minOf(usual, maxOf(half, target))
        }
    }

    /**
     * Returns the next step of an attempt.
     *
     * @param silentSince since when the response has been awaited; null while nothing is awaited from the endpoint
     * @param suspicion what else is known of the endpoint
     * @param reserve reserves another endpoint and a retry; called only if they are needed
     */
    fun decide(
        state: RetryState,
        silentSince: Instant?,
        now: Instant,
        suspicion: Suspicion = Suspicion(),
        reserve: () -> Alternative,
    ): StallDecision {
        val timeout = silentSince?.let { timeout(state, it, suspicion) }
            ?: timeout(state.route.latencyTarget, suspicion.patience)
        val silence = silentSince?.let { Duration.between(it, now) } ?: Duration.ZERO
        return when {
            silence < timeout -> StallDecision.KeepWaiting(timeout - silence, null)
            !state.canFailOver -> keepWaiting(WaitReason.NO_ATTEMPT_LEFT)
            Duration.between(now, state.deadline) <= recheckInterval -> keepWaiting(WaitReason.NO_TIME_LEFT)
            else -> when (reserve()) {
                Alternative.RESERVED -> StallDecision.MoveOn
                Alternative.NO_ENDPOINT -> keepWaiting(WaitReason.NO_OTHER_ENDPOINT)
                Alternative.NO_RETRY -> keepWaiting(WaitReason.NO_RETRY_LEFT)
            }
        }
    }

    private fun keepWaiting(reason: WaitReason) = StallDecision.KeepWaiting(recheckInterval, reason)
}
