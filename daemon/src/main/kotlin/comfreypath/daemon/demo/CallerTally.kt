package comfreypath.daemon.demo

/**
 * What callers have counted.
 *
 * @property reusableTokens tokens of earlier turns, which an engine could have kept
 * @property reusedTokens those of them that the engine had kept
 */
internal data class CallerTally(
    val sent: Int = 0,
    val answered: Int = 0,
    val refusedNotRun: Int = 0,
    val mayHaveRun: Int = 0,
    val lost: Int = 0,
    val crossed: Int = 0,
    val reusableTokens: Long = 0,
    val reusedTokens: Long = 0,
) {
    /** The tally with one more outcome; an answer's content is [checked] apart. */
    fun withOutcome(outcome: CallerOutcome): CallerTally = when (outcome) {
        is CallerOutcome.Answered -> copy(sent = sent + 1)
        is CallerOutcome.NotSent -> this
        is CallerOutcome.Lost -> copy(sent = sent + 1, lost = lost + 1)
        is CallerOutcome.Refused ->
            if (outcome.body.error.verdict == "notRun") {
                copy(sent = sent + 1, refusedNotRun = refusedNotRun + 1)
            } else {
                copy(sent = sent + 1, mayHaveRun = mayHaveRun + 1)
            }
    }

    /** The tally after an answer's content was compared with the request's own answer. */
    fun withChecked(ownAnswer: Boolean): CallerTally =
        if (ownAnswer) copy(answered = answered + 1) else copy(crossed = crossed + 1)

    /** The tally after an answer to a chat of which [earlierTokens] tokens had been seen before. */
    fun withReuse(answer: CallerOutcome.Answered, earlierTokens: Int): CallerTally {
        val cached = answer.usage?.promptDetails?.cachedTokens ?: 0
        return copy(
            reusableTokens = reusableTokens + earlierTokens,
            reusedTokens = reusedTokens + minOf(cached, earlierTokens),
        )
    }
}
