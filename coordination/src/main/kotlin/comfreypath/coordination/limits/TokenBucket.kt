package comfreypath.coordination.limits

import java.time.Duration
import java.time.Instant

private const val MILLISECONDS_PER_SECOND = 1_000.0

/**
 * Limits the rate of events while allowing bursts.
 *
 * @property ratePerSecond the number of events per second in the long run
 * @property burst the maximum number of events at once
 * @property tokens the number of events that were available at [filledAt]
 */
data class TokenBucket(
    val ratePerSecond: Double,
    val burst: Double,
    val tokens: Double = burst,
    val filledAt: Instant = Instant.EPOCH,
) {
    /** The number of events allowed at [now]. */
    fun available(now: Instant): Double {
        val elapsed = Duration.between(filledAt, now).toMillis() / MILLISECONDS_PER_SECOND
        return minOf(burst, tokens + elapsed * ratePerSecond)
    }

    /** The bucket after one event at [now]; an event that exceeds the limit empties it. */
    fun acquire(now: Instant): TokenBucket = copy(tokens = maxOf(0.0, available(now) - 1.0), filledAt = now)

    /** The bucket after an event that was acquired has not taken place. */
    fun release(now: Instant): TokenBucket = copy(tokens = minOf(burst, available(now) + 1.0), filledAt = now)

    /** The bucket with another [rate] per second and the tokens that it holds at [now]. */
    fun withRate(rate: Double, now: Instant): TokenBucket =
        if (rate == ratePerSecond) this else copy(ratePerSecond = rate, tokens = available(now), filledAt = now)

    /** The time from [now] until one event is allowed. */
    fun waitTime(now: Instant): Duration {
        val missing = 1.0 - available(now)
        return if (missing <= 0.0) {
            Duration.ZERO
        } else {
            Duration.ofMillis((missing / ratePerSecond * MILLISECONDS_PER_SECOND).toLong() + 1)
        }
    }
}
