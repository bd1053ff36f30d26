package comfreypath.coordination.verdict

import java.time.Duration

private const val SOON_MILLISECONDS = 300L
private const val LONGEST_MILLISECONDS = 2_000L

/** Clients follow advice up to a third of the time that they have left. */
private const val SHARE_OF_TIME_LEFT = 0.25
private const val SPREAD = 0.2

/**
 * Decides when a refused caller is told to come back.
 *
 * It answers services that have lost their last endpoint: servers take seconds to come back, and callers mostly return
 * once, so that advice to return at once spends that return on the same outage. An endpoint that is only full is
 * expected to have room soon, when it says.
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
        is AttemptOutcome.NotRun -> lastOutcome.retryAfter ?: apart(SOON_MILLISECONDS, jitter)
        null, is AttemptOutcome.NotSent, AttemptOutcome.WrongEndpoint -> {
            val wanted = (timeLeft.toMillis() * SHARE_OF_TIME_LEFT).toLong()
            apart(wanted.coerceIn(SOON_MILLISECONDS, LONGEST_MILLISECONDS), jitter)
        }
        is AttemptOutcome.Answered, is AttemptOutcome.Unknown -> apart(SOON_MILLISECONDS, jitter)
    }

    private fun apart(milliseconds: Long, jitter: Double): Duration =
        Duration.ofMillis((milliseconds * (1 + SPREAD * jitter)).toLong())
}
