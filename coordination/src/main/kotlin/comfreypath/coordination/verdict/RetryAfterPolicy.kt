package comfreypath.coordination.verdict

import java.time.Duration

private const val MIN_DELAY_MILLISECONDS = 300L
private const val MAX_DELAY_MILLISECONDS = 2_000L

/** Clients honor a retry-after up to a third of their remaining time. */
private const val SHARE_OF_TIME_LEFT = 0.25
private const val MAX_JITTER_SHARE = 0.2

/** Requests are limited for a second after a pause, so that the callers refused during it return over that time. */
private const val RETURN_SPREAD_MILLISECONDS = 1_000L

/** Beyond this time other endpoints, or new entries, are as likely to have room. */
private const val MAX_PAUSE_DELAY_MILLISECONDS = 60_000L
private const val UNAVAILABLE = 503

/**
 * Chooses the retry-after of a refused request.
 *
 * When a service has lost its last endpoint, servers take seconds to restart. Most callers retry only once, so a short
 * delay would spend that retry on the same outage. An endpoint that is only full is expected to have room soon. Its own
 * retry-after is when that endpoint has room; a pause that it asks for concerns no other endpoint of the service.
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
        is AttemptOutcome.NotRun -> withJitter(untilRoom(lastOutcome), jitter)
        null, is AttemptOutcome.NotSent, AttemptOutcome.WrongEndpoint, AttemptOutcome.Withheld ->
            afterOutage(timeLeft, jitter)
        is AttemptOutcome.Answered, is AttemptOutcome.Unknown -> withJitter(MIN_DELAY_MILLISECONDS, jitter)
    }

    /**
     * Returns the time after which to retry when every endpoint of the service pauses or leaves.
     *
     * @param untilFirstReturn the time until the first pause ends; null if all endpoints leave
     */
    fun whenAllAreOut(untilFirstReturn: Duration?, timeLeft: Duration, jitter: Double): Duration =
        if (untilFirstReturn == null) {
            afterOutage(timeLeft, jitter)
        } else {
            val spread = (RETURN_SPREAD_MILLISECONDS * jitter).toLong()
            Duration.ofMillis(untilFirstReturn.toMillis().coerceIn(0, MAX_PAUSE_DELAY_MILLISECONDS) + spread)
        }

    private fun afterOutage(timeLeft: Duration, jitter: Double): Duration {
        val delay = (timeLeft.toMillis() * SHARE_OF_TIME_LEFT).toLong()
        return withJitter(delay.coerceIn(MIN_DELAY_MILLISECONDS, MAX_DELAY_MILLISECONDS), jitter)
    }

    /** The time until the service is expected to have room, after an endpoint has refused a request. */
    private fun untilRoom(refusal: AttemptOutcome.NotRun): Long {
        val ownDelay = refusal.retryAfter?.toMillis() ?: MIN_DELAY_MILLISECONDS
        return if (refusal.status == UNAVAILABLE) minOf(ownDelay, MIN_DELAY_MILLISECONDS) else ownDelay
    }

    private fun withJitter(delayMilliseconds: Long, jitter: Double): Duration =
        Duration.ofMillis((delayMilliseconds * (1 + MAX_JITTER_SHARE * jitter)).toLong())
}
