package comfreypath.transport

import java.time.Duration

private const val PARTS_PER_SECOND = 20_000L

/** What may arrive at once after a pause. */
private const val BURST_PARTS = 8_192L

/**
 * Bounds the work that short parts of messages cause, for all connections of a process together.
 *
 * A part costs about the same, however short it is, so that a peer can cause much work with few bytes. Confined to one
 * event loop.
 *
 * @param nanoTime a steady clock
 */
class PartPace(private val nanoTime: () -> Long = System::nanoTime) {
    private var paidAt = nanoTime() - BURST_PARTS * NANOSECONDS_PER_PART

    /** Counts [parts] and returns how long their connection is not to be read; zero while they are few enough. */
    internal fun charge(parts: Int): Duration {
        val now = nanoTime()
        paidAt = maxOf(paidAt, now - BURST_PARTS * NANOSECONDS_PER_PART) + parts * NANOSECONDS_PER_PART
        return Duration.ofNanos(maxOf(0, paidAt - now))
    }

    private companion object {
        val NANOSECONDS_PER_PART = Duration.ofSeconds(1).toNanos() / PARTS_PER_SECOND
    }
}
