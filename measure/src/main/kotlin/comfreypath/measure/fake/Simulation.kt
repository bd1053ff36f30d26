package comfreypath.measure.fake

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import java.util.PriorityQueue
import kotlin.math.ln

private val START: Instant = Instant.parse("2026-01-01T00:00:00Z")

/** A simulated clock that advances from one scheduled action to the next, with a seeded source of random numbers. */
class Simulation(seed: Long) : InstantSource {
    private val queue = PriorityQueue<ScheduledAction>()
    private var current: Instant = START
    private var scheduledCount = 0L

    /** The source of all random choices. */
    val random: UniformRandomProvider = RandomSource.SPLIT_MIX_64.create(seed)

    private class ScheduledAction(
        val at: Instant,
        val sequence: Long,
        val action: () -> Unit,
    ) : Comparable<ScheduledAction> {
        override fun compareTo(other: ScheduledAction): Int {
            val byTime = at.compareTo(other.at)
            return if (byTime != 0) byTime else sequence.compareTo(other.sequence)
        }
    }

    override fun instant(): Instant = current

    /** Runs [action] after [delay]. */
    fun after(delay: Duration, action: () -> Unit) {
        scheduledCount += 1
        queue += ScheduledAction(current + delay, scheduledCount, action)
    }

    /** Runs [action] after every [interval] until it returns false. */
    fun every(interval: Duration, action: () -> Boolean) {
        after(interval) {
            if (action()) {
                every(interval, action)
            }
        }
    }

    /** Runs the actions that are due within [duration], and advances the clock by it. */
    fun runFor(duration: Duration) {
        val end = current + duration
        var next = queue.peek()
        while (next != null && next.at <= end) {
            queue.poll()
            current = next.at
            next.action()
            next = queue.peek()
        }
        current = end
    }

    /** A random duration from an exponential distribution with the given mean. */
    fun exponential(mean: Duration): Duration =
        Duration.ofNanos((-ln(1.0 - random.nextDouble()) * mean.toNanos()).toLong())

    /** A random duration from a uniform distribution between [min] and [max]. */
    fun between(min: Duration, max: Duration): Duration =
        min + Duration.ofNanos((random.nextDouble() * (max - min).toNanos()).toLong())

    /** True with the given probability. */
    fun chance(probability: Double): Boolean = random.nextDouble() < probability

    /** A random element of [items], all with equal probability. */
    fun <T> oneOf(items: List<T>): T = items[random.nextInt(items.size)]
}
