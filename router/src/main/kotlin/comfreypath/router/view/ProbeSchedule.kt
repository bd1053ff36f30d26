package comfreypath.router.view

import java.time.Duration

private const val MARGIN_MILLISECONDS = 300L

/** Limits of the age before jitter, which only lowers it. */
private const val MAX_PROBE_AGE_MILLISECONDS = 3_000L
private const val MIN_PROBE_AGE_MILLISECONDS = 400L
private const val JITTER = 0.2

/** A router probes when the last confirmation reaches an age that it draws at random from this range. */
data class ProbeAgeRange(val min: Duration, val max: Duration)

/**
 * Decides when to read the configuration to confirm that it is current.
 *
 * A router whose calls the store refuses depends on its peers' confirmations. These take up to two status messages to
 * reach it: one carries the stamp that the peer echoes, the other the confirmation. Peers must therefore renew their
 * confirmations that much before keys expire. In larger fleets status messages are sent less often but come from more
 * peers, so the interval of a small fleet is used.
 *
 * @property statusInterval the time between two status messages of a peer in a small fleet
 */
class ProbeSchedule(private val statusInterval: Duration) {
    /** The ages at which to probe if keys are accepted for [maxKeyAge] after the last confirmation. */
    fun ageRange(maxKeyAge: Duration): ProbeAgeRange {
        val propagation = statusInterval.multipliedBy(2).plusMillis(MARGIN_MILLISECONDS)
        val max = maxKeyAge.minus(propagation).toMillis()
            .coerceIn(MIN_PROBE_AGE_MILLISECONDS, MAX_PROBE_AGE_MILLISECONDS)
        val min = (max * (1 - JITTER)).toLong()
        return ProbeAgeRange(Duration.ofMillis(min), Duration.ofMillis(max))
    }
}
