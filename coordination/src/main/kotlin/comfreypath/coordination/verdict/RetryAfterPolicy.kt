package comfreypath.coordination.verdict

import java.time.Duration

private const val MIN_DELAY_MILLISECONDS = 300L
private const val MAX_DELAY_MILLISECONDS = 2_000L

/** Clients honor a retry-after up to a third of their remaining time. */
private const val SHARE_OF_TIME_LEFT = 0.25
private const val MAX_JITTER_SHARE = 0.2

/**
 * Chooses the retry-after of a refused request.
 *
 * When a service has lost its last endpoint, servers take seconds to restart. Most callers retry only once, so a short
 * delay would spend that retry on the same outage. An endpoint that is only full is expected to have room soon, and its
 * own retry-after takes precedence.
 */
object RetryAfterPolicy {
    /**
     * Returns the time after which to retry.
     *
     * @param lastOutcome the outcome of the last attempt; null if there was none
     * @param timeLeft how much longer the caller waits
     * @param jitter from 0 to 1; spreads the retries of callers that are refused together
     */
    fun delay(lastOutcome: AttemptOutcome?, timeLeft: Duration, jitter: Double): Duration = when (lastOutcome) {
        is AttemptOutcome.NotRun -> lastOutcome.retryAfter ?: withJitter(MIN_DELAY_MILLISECONDS, jitter)
        null, is AttemptOutcome.NotSent, AttemptOutcome.WrongEndpoint -> {
            val delay = (timeLeft.toMillis() * SHARE_OF_TIME_LEFT).toLong()
            withJitter(delay.coerceIn(MIN_DELAY_MILLISECONDS, MAX_DELAY_MILLISECONDS), jitter)
        }
        is AttemptOutcome.Answered, is AttemptOutcome.Unknown -> withJitter(MIN_DELAY_MILLISECONDS, jitter)
    }

    private fun withJitter(delayMilliseconds: Long, jitter: Double): Duration =
        Duration.ofMillis((delayMilliseconds * (1 + MAX_JITTER_SHARE * jitter)).toLong())
}
