package comfreypath.daemon.demo

/**
 * Counts of the outcomes that callers got.
 *
 * @property reusableTokens tokens of earlier turns, which an engine may have cached
 * @property reusedTokens the reusable tokens that the engine had cached
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
    /** Adds an outcome. A response is counted as answered or crossed by [withChecked]. */
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

    /** Counts a response as answered if it is the one expected for its request, otherwise as crossed. */
    fun withChecked(matches: Boolean): CallerTally =
        if (matches) copy(answered = answered + 1) else copy(crossed = crossed + 1)

    /** Adds the tokens that a response reused, of the [earlierTokens] in the earlier turns of its chat. */
    fun withReuse(response: CallerOutcome.Answered, earlierTokens: Int): CallerTally {
        val cached = response.usage?.promptDetails?.cachedTokens ?: 0
        return copy(
            reusableTokens = reusableTokens + earlierTokens,
            reusedTokens = reusedTokens + minOf(cached, earlierTokens),
        )
    }
}
