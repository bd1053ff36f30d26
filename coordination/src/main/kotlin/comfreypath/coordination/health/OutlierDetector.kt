package comfreypath.coordination.health

import java.time.Duration
import java.time.Instant
import kotlin.math.pow

/**
 * The health of one endpoint as observed by one router.
 *
 * @property failures the number of failed attempts, with weights that decay with age
 * @property outcomes the number of all attempts, with the same weights
 * @property consecutiveLosses the number of lost responses since the last response
 * @property consecutiveSilences the number of silences since the last response
 * @property ejections the number of ejections since the last response that came while the failure rate was low
 * @property ejectedUntil when the endpoint may be tried again; null if it is neither ejected nor full
 */
data class HealthState(
    val failures: Double = 0.0,
    val outcomes: Double = 0.0,
    val updatedAt: Instant = Instant.EPOCH,
    val consecutiveLosses: Int = 0,
    val consecutiveSilences: Int = 0,
    val ejections: Int = 0,
    val ejectedUntil: Instant? = null,
) {
    /** True if the endpoint is not to be used at [now]. */
    fun isEjected(now: Instant): Boolean = ejectedUntil?.let { now < it } ?: false

    /** The weighted fraction of failed attempts, from 0 to 1. */
    val failureRate: Double get() = if (outcomes <= 0.0) 0.0 else failures / outcomes
}

/**
 * Ejects failing endpoints, based on the outcomes of the router's own requests.
 *
 * Detects servers that crash, hang, reset connections, go silent or fail some requests while their health check
 * passes. The first request after an ejection tries the endpoint again; if it fails, the endpoint is ejected for twice
 * as long. Errors that the endpoint reports itself only count towards the failure rate, since healthy servers report
 * some too.
 */
class OutlierDetector(private val options: HealthOptions = HealthOptions()) {
    /**
     * The state after an attempt that ended at [now] with [evidence].
     *
     * @param patience how many times longer than usual a sound endpoint may take now; it may be silent as often
     */
    fun after(state: HealthState, evidence: HealthEvidence, now: Instant, patience: Double = 1.0): HealthState {
        val decayed = decayed(state, now)
        return when (evidence) {
            HealthEvidence.ANSWERED -> answered(decayed.copy(outcomes = decayed.outcomes + 1))
            HealthEvidence.FULL -> decayed.copy(ejectedUntil = latest(decayed.ejectedUntil, now + options.fullBackoff))
            HealthEvidence.FAILED -> ejectedIfFailing(withFailure(decayed), now, conclusive = false)
            HealthEvidence.LOST -> {
                val next = withFailure(decayed).copy(consecutiveLosses = decayed.consecutiveLosses + 1)
                ejectedIfFailing(next, now, conclusive = next.consecutiveLosses >= options.consecutiveLosses)
            }
            HealthEvidence.SILENT -> {
                val next = withFailure(decayed, weight = 1 / patience)
                    .copy(consecutiveSilences = decayed.consecutiveSilences + 1)
                val conclusive = next.consecutiveSilences >= (options.consecutiveSilences * patience).toInt()
                ejectedIfFailing(next, now, conclusive)
            }
            HealthEvidence.UNREACHABLE -> ejectedIfFailing(withFailure(decayed), now, conclusive = true)
        }
    }

    private fun answered(state: HealthState) = state.copy(
        consecutiveLosses = 0,
        consecutiveSilences = 0,
        ejections = if (state.failureRate < options.failureRateThreshold) 0 else state.ejections,
        ejectedUntil = null,
    )

    private fun withFailure(state: HealthState, weight: Double = 1.0) =
        state.copy(failures = state.failures + weight, outcomes = state.outcomes + 1)

    private fun latest(first: Instant?, second: Instant): Instant = if (first == null) second else maxOf(first, second)

    private fun decayed(state: HealthState, now: Instant): HealthState {
        val elapsed = Duration.between(state.updatedAt, now).toMillis().coerceAtLeast(0).toDouble()
        val kept = HALF.pow(elapsed / options.halfLife.toMillis())
        return state.copy(failures = state.failures * kept, outcomes = state.outcomes * kept, updatedAt = now)
    }

    private fun ejectedIfFailing(state: HealthState, now: Instant, conclusive: Boolean): HealthState {
        val failsOften = state.outcomes >= options.minSamples && state.failureRate > options.failureRateThreshold
        val failedAfterReturn = state.ejections > 0 && !state.isEjected(now)
        val failing = conclusive || failsOften || failedAfterReturn
        if (!failing || state.isEjected(now)) {
            return state
        }
        val doublings = state.ejections.coerceAtMost(MAX_DOUBLINGS)
        val ejectionTime = minOf(options.baseEjectionTime.multipliedBy(1L shl doublings), options.maxEjectionTime)
        return state.copy(ejections = state.ejections + 1, ejectedUntil = now + ejectionTime)
    }

    private companion object {
        const val HALF = 0.5
        const val MAX_DOUBLINGS = 8
    }
}
