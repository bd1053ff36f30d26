package comfreypath.coordination.health

import java.time.Duration
import java.time.Instant
import kotlin.math.pow

/**
 * What one router has seen of one endpoint.
 *
 * @property bad the bad outcomes, each counted less the older it is
 * @property total all outcomes, likewise
 * @property losses the losses since the last answer
 * @property silences the silences since the last answer
 * @property ejections how often it was left out without a sound answer in between
 * @property until when it may be tried again; null while it is not left out
 */
data class HealthState(
    val bad: Double = 0.0,
    val total: Double = 0.0,
    val updatedAt: Instant = Instant.EPOCH,
    val losses: Int = 0,
    val silences: Int = 0,
    val ejections: Int = 0,
    val until: Instant? = null,
) {
    /** True while the endpoint is to be left out at [now]. */
    fun ejected(now: Instant): Boolean = until?.let { now < it } ?: false

    /** The share of bad outcomes. */
    val badShare: Double get() = if (total <= 0.0) 0.0 else bad / total
}

/**
 * Finds endpoints that fail from the router's own traffic, and lets them back gently.
 *
 * It answers servers that crash, hang, reset, fall silent or fail part of their requests while their health check is
 * good. An endpoint that was left out is tried again with the next request that comes after its time; if that fails it
 * is left out for twice as long. Failures that the endpoint reports itself count by their share only, since a sound
 * server reports some too.
 */
class EndpointHealth(private val options: HealthOptions = HealthOptions()) {
    /** Takes in what an attempt has shown. */
    fun after(state: HealthState, evidence: HealthEvidence, now: Instant): HealthState {
        val aged = aged(state, now)
        return when (evidence) {
            HealthEvidence.ANSWERED -> answered(aged.copy(total = aged.total + 1))
            HealthEvidence.FULL -> aged.copy(until = latest(aged.until, now + options.fullPause))
            HealthEvidence.FAILED -> judged(worse(aged), now, certain = false)
            HealthEvidence.LOST -> {
                val next = worse(aged).copy(losses = aged.losses + 1)
                judged(next, now, certain = next.losses >= options.consecutiveLosses)
            }
            HealthEvidence.SILENT -> {
                val next = worse(aged).copy(silences = aged.silences + 1)
                judged(next, now, certain = next.silences >= options.consecutiveSilences)
            }
            HealthEvidence.UNREACHABLE -> judged(worse(aged), now, certain = true)
        }
    }

    private fun answered(state: HealthState) = state.copy(
        losses = 0,
        silences = 0,
        ejections = if (state.badShare < options.failureShare) 0 else state.ejections,
        until = null,
    )

    private fun worse(state: HealthState) = state.copy(bad = state.bad + 1, total = state.total + 1)

    private fun latest(first: Instant?, second: Instant): Instant = if (first == null) second else maxOf(first, second)

    private fun aged(state: HealthState, now: Instant): HealthState {
        val elapsed = Duration.between(state.updatedAt, now).toMillis().coerceAtLeast(0).toDouble()
        val kept = HALF.pow(elapsed / options.halfLife.toMillis())
        return state.copy(bad = state.bad * kept, total = state.total * kept, updatedAt = now)
    }

    private fun judged(state: HealthState, now: Instant, certain: Boolean): HealthState {
        val often = state.total >= options.leastSamples && state.badShare > options.failureShare
        val afterReturn = state.ejections > 0 && !state.ejected(now)
        val convicted = certain || often || afterReturn
        if (!convicted || state.ejected(now)) {
            return state
        }
        val doublings = state.ejections.coerceAtMost(MOST_DOUBLINGS)
        val time = minOf(options.firstEjection.multipliedBy(1L shl doublings), options.longestEjection)
        return state.copy(ejections = state.ejections + 1, until = now + time)
    }

    private companion object {
        const val HALF = 0.5
        const val MOST_DOUBLINGS = 8
    }
}
