package comfreypath.router

import java.time.Instant
import java.time.InstantSource

/**
 * A clock that never jumps: it starts at the time of day and then follows the steady clock.
 *
 * The time of day of an instance may jump by seconds, so that only differences between readings of this clock mean
 * anything.
 */
class MonotonicClock : InstantSource {
    private val startedAt: Instant = Instant.now()
    private val origin: Long = System.nanoTime()

    override fun instant(): Instant = startedAt.plusNanos(System.nanoTime() - origin)
}
