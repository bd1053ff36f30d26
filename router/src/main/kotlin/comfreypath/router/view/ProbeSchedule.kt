package comfreypath.router.view

import java.time.Duration

private const val MARGIN_MILLISECONDS = 300L
private const val LONGEST_MILLISECONDS = 3_000L
private const val LEAST_MILLISECONDS = 400L
private const val SPREAD = 0.2

/** How old the last proof of the configuration may get before a router reads it: a random time in this range. */
data class ProbeAgeRange(val min: Duration, val max: Duration)

/**
 * Decides when the configuration is read to prove that it is the newest one.
 *
 * It answers a router that the store turns away: it lives on its peers' proofs, which reach it up to two statuses after
 * they were made (one to tell what the peer echoes, one with the proof). The peers must therefore prove anew that much
 * before keys stop counting. In larger fleets statuses are rarer but come from more peers, so that the shortest
 * interval counts.
 *
 * @property statusInterval the time between two statuses of a peer in a small fleet
 */
class ProbeSchedule(private val statusInterval: Duration) {
    /** The ages at which to read while keys count for [maxKeyAge] after the last proof. */
    fun ageRange(maxKeyAge: Duration): ProbeAgeRange {
        val onTheWay = statusInterval.multipliedBy(2).plusMillis(MARGIN_MILLISECONDS)
        val longest = maxKeyAge.minus(onTheWay).toMillis().coerceIn(LEAST_MILLISECONDS, LONGEST_MILLISECONDS)
        val shortest = (longest * (1 - SPREAD)).toLong()
        return ProbeAgeRange(Duration.ofMillis(shortest), Duration.ofMillis(longest))
    }
}
