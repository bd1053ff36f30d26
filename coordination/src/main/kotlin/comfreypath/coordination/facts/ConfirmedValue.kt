package comfreypath.coordination.facts

import java.time.Duration
import java.time.Instant

/**
 * Something that the platform's store said.
 *
 * @property revision the store's revision at which it held
 * @property confirmedAt a time at which the store had not yet said anything newer, by this router's steady clock
 */
data class ConfirmedValue<T>(val value: T, val revision: Long, val confirmedAt: Instant) {
    /** How old the fact may be at [now]. */
    fun age(now: Instant): Duration = Duration.between(confirmedAt, now)
}
