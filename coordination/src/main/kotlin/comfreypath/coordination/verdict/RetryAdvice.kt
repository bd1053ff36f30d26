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
object RetryAdvice {
    /**
     * The time after which to come back when the last attempt ended with [last], null if there was none, and the caller
     * waits for [timeLeft] more. [spread] from 0 to 1 keeps those that are refused together apart.
     */
    fun after(last: AttemptOutcome?, timeLeft: Duration, spread: Double): Duration = when (last) {
        is AttemptOutcome.NotRun -> last.retryAfter ?: apart(SOON_MILLISECONDS, spread)
        null, is AttemptOutcome.NotSent, AttemptOutcome.WrongEndpoint -> {
            val wanted = (timeLeft.toMillis() * SHARE_OF_TIME_LEFT).toLong()
            apart(wanted.coerceIn(SOON_MILLISECONDS, LONGEST_MILLISECONDS), spread)
        }
        is AttemptOutcome.Answered, is AttemptOutcome.Unknown -> apart(SOON_MILLISECONDS, spread)
    }

    private fun apart(milliseconds: Long, spread: Double): Duration =
        Duration.ofMillis((milliseconds * (1 + SPREAD * spread)).toLong())
}
