package comfreypath.coordination.facts

import java.time.Duration
import java.time.Instant

/**
 * A value read from the platform's store, with the last time at which it was known to be current.
 *
 * @property revision store revision of the value
 * @property confirmedAt time on this router's steady clock at which the store had no newer value
 */
data class ConfirmedValue<T>(val value: T, val revision: Long, val confirmedAt: Instant) {
    /** Maximum staleness of the value at [now]. */
    fun age(now: Instant): Duration = Duration.between(confirmedAt, now)
}
