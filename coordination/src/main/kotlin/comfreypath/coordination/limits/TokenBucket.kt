package comfreypath.coordination.limits

import java.time.Duration
import java.time.Instant

private const val MILLISECONDS_PER_SECOND = 1_000.0

/**
 * Allows a rate of events with bursts.
 *
 * @property ratePerSecond events a second in the long run
 * @property burst the most events at once
 */
data class TokenBucket(
    val ratePerSecond: Double,
    val burst: Double,
    val tokens: Double = burst,
    val filledAt: Instant = Instant.EPOCH,
) {
    /** The events allowed at [now]. */
    fun available(now: Instant): Double {
        val elapsed = Duration.between(filledAt, now).toMillis() / MILLISECONDS_PER_SECOND
        return minOf(burst, tokens + elapsed * ratePerSecond)
    }

    /** The bucket after one event at [now]; one that was not allowed leaves it empty. */
    fun acquire(now: Instant): TokenBucket = copy(tokens = maxOf(0.0, available(now) - 1.0), filledAt = now)

    /** The bucket with another rate, keeping what it holds. */
    fun withRate(rate: Double, now: Instant): TokenBucket =
        if (rate == ratePerSecond) this else copy(ratePerSecond = rate, tokens = available(now), filledAt = now)

    /** How long after [now] one event is allowed. */
    fun waitTime(now: Instant): Duration {
        val missing = 1.0 - available(now)
        return if (missing <= 0.0) {
            Duration.ZERO
        } else {
            Duration.ofMillis((missing / ratePerSecond * MILLISECONDS_PER_SECOND).toLong() + 1)
        }
    }
}
