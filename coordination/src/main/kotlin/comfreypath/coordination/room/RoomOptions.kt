package comfreypath.coordination.room

import java.time.Duration

private const val MEMORY_SECONDS = 2L
private const val MIN_RETRY_AFTER_MILLISECONDS = 150L
private const val MAX_RETRY_AFTER_MILLISECONDS = 5_000L

/** Callers honour a retry-after up to a third of the time that they have left. */
private const val RETRY_SHARE_OF_TIME_LEFT = 0.3
private const val QUEUE_SHARE_OF_SLACK = 0.4
private const val PROPORTIONAL_GAIN = 1.5
private const val INTEGRAL_GAIN = 0.05
private const val MAX_CORRECTION = 0.5

/**
 * Limits of [RoomPolicy].
 *
 * @property memory the time over which offered work is measured
 * @property minRetryAfter the least retry-after; a return before it is no return
 * @property maxRetryAfter the greatest retry-after
 * @property retryShareOfTimeLeft the greatest retry-after relative to the time that the caller has left
 * @property queueShareOfSlack the wait to keep at the endpoints, relative to the shortest wait that makes a kind late
 * @property proportionalGain the part of the work that is turned away for each queued request per slot above that wait
 * @property integralGain the same, for each hold time for which it is above
 * @property maxCorrection the greatest part of the work that [integralGain] adds or takes
 */
data class RoomOptions(
    val memory: Duration = Duration.ofSeconds(MEMORY_SECONDS),
    val minRetryAfter: Duration = Duration.ofMillis(MIN_RETRY_AFTER_MILLISECONDS),
    val maxRetryAfter: Duration = Duration.ofMillis(MAX_RETRY_AFTER_MILLISECONDS),
    val retryShareOfTimeLeft: Double = RETRY_SHARE_OF_TIME_LEFT,
    val queueShareOfSlack: Double = QUEUE_SHARE_OF_SLACK,
    val proportionalGain: Double = PROPORTIONAL_GAIN,
    val integralGain: Double = INTEGRAL_GAIN,
    val maxCorrection: Double = MAX_CORRECTION,
)
