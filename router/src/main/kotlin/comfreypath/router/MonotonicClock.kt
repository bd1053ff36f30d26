package comfreypath.router

import java.time.Instant
import java.time.InstantSource

/**
 * Starts at the wall-clock time and then advances with [System.nanoTime].
 *
 * The wall clock of an instance may jump by seconds, which this clock ignores. Only differences between readings of
 * this clock are meaningful.
 */
class MonotonicClock : InstantSource {
    private val startedAt: Instant = Instant.now()
    private val origin: Long = System.nanoTime()

    override fun instant(): Instant = startedAt.plusNanos(System.nanoTime() - origin)
}
