package comfreypath.coordination.health

import java.time.Duration
import java.time.Instant
import kotlin.math.pow

/**
 * What one router has seen of one endpoint.
 *
 * @property failures the bad outcomes, each counted less the older it is
 * @property outcomes all outcomes, likewise
 * @property consecutiveLosses the losses since the last answer
 * @property consecutiveSilences the silences since the last answer
 * @property ejections how often it was left out without a sound answer in between
 * @property ejectedUntil when it may be tried again; null while it is not left out
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
    /** True while the endpoint is to be left out at [now]. */
    fun isEjected(now: Instant): Boolean = ejectedUntil?.let { now < it } ?: false

    /** The share of bad outcomes. */
    val failureRate: Double get() = if (outcomes <= 0.0) 0.0 else failures / outcomes
}

/**
 * Finds endpoints that fail from the router's own traffic, and lets them back gently.
 *
 * It answers servers that crash, hang, reset, fall silent or fail part of their requests while their health check is
 * good. An endpoint that was left out is tried again with the next request that comes after its time; if that fails it
 * is left out for twice as long. Failures that the endpoint reports itself count by their share only, since a sound
 * server reports some too.
 */
class OutlierDetector(private val options: HealthOptions = HealthOptions()) {
    /** Takes in what an attempt has shown. */
    fun after(state: HealthState, evidence: HealthEvidence, now: Instant): HealthState {
        val aged = aged(state, now)
        return when (evidence) {
            HealthEvidence.ANSWERED -> answered(aged.copy(outcomes = aged.outcomes + 1))
            HealthEvidence.FULL -> aged.copy(ejectedUntil = latest(aged.ejectedUntil, now + options.fullBackoff))
            HealthEvidence.FAILED -> judged(worse(aged), now, certain = false)
            HealthEvidence.LOST -> {
                val next = worse(aged).copy(consecutiveLosses = aged.consecutiveLosses + 1)
                judged(next, now, certain = next.consecutiveLosses >= options.consecutiveLosses)
            }
            HealthEvidence.SILENT -> {
                val next = worse(aged).copy(consecutiveSilences = aged.consecutiveSilences + 1)
                judged(next, now, certain = next.consecutiveSilences >= options.consecutiveSilences)
            }
            HealthEvidence.UNREACHABLE -> judged(worse(aged), now, certain = true)
        }
    }

    private fun answered(state: HealthState) = state.copy(
        consecutiveLosses = 0,
        consecutiveSilences = 0,
        ejections = if (state.failureRate < options.failureRateThreshold) 0 else state.ejections,
        ejectedUntil = null,
    )

    private fun worse(state: HealthState) = state.copy(failures = state.failures + 1, outcomes = state.outcomes + 1)

    private fun latest(first: Instant?, second: Instant): Instant = if (first == null) second else maxOf(first, second)

    private fun aged(state: HealthState, now: Instant): HealthState {
        val elapsed = Duration.between(state.updatedAt, now).toMillis().coerceAtLeast(0).toDouble()
        val kept = HALF.pow(elapsed / options.halfLife.toMillis())
        return state.copy(failures = state.failures * kept, outcomes = state.outcomes * kept, updatedAt = now)
    }

    private fun judged(state: HealthState, now: Instant, certain: Boolean): HealthState {
        val often = state.outcomes >= options.minSamples && state.failureRate > options.failureRateThreshold
        val afterReturn = state.ejections > 0 && !state.isEjected(now)
        val convicted = certain || often || afterReturn
        if (!convicted || state.isEjected(now)) {
            return state
        }
        val doublings = state.ejections.coerceAtMost(MOST_DOUBLINGS)
        val time = minOf(options.baseEjectionTime.multipliedBy(1L shl doublings), options.maxEjectionTime)
        return state.copy(ejections = state.ejections + 1, ejectedUntil = now + time)
    }

    private companion object {
        const val HALF = 0.5
        const val MOST_DOUBLINGS = 8
    }
}
