package comfreypath.coordination.verdict

import comfreypath.coordination.routing.Route
import java.time.Duration
import java.time.Instant

private const val SERVER_ERROR = 500
private const val LEAST_USEFUL_MILLISECONDS = 20L

/**
 * What is known about one request of a caller after its attempts so far.
 *
 * @property deadline when the caller, or the operator's timeout, ends the wait
 * @property runs the attempts that may have run
 * @property refusals the attempts that are known not to have run
 */
data class RetryState(
    val route: Route,
    val deadline: Instant,
    val runs: Int = 0,
    val refusals: Int = 0,
    val lastOutcome: AttemptOutcome? = null,
) {
    /** True when the request may go on at another endpoint if the one that runs it falls silent. */
    val canFailOver: Boolean get() = route.repeatable && runs + 1 < route.maxAttempts
}

/** What is to be done with a request next. */
sealed interface RetryDecision {
    /** Offer it to another endpoint. */
    data object TryAnother : RetryDecision

    /** Give the caller the endpoint's answer. */
    data object Deliver : RetryDecision

    /** Tell the caller that it has not run. */
    data object RefuseNotRun : RetryDecision

    /** Tell the caller that it failed and may have run. */
    data object FailMayHaveRun : RetryDecision
}

/**
 * Decides after each attempt whether a request is offered to another endpoint and, if not, what its caller is told.
 *
 * A request that may not be repeated is offered again only while every attempt is known not to have run.
 *
 * @property maxRefusals the most refusals after which a request is given up
 */
class RetryPolicy(private val maxRefusals: Int) {
    /** Takes the outcome of an attempt in; [mayRetry] tells whether the retry budget allows another one. */
    fun decide(
        state: RetryState,
        outcome: AttemptOutcome,
        now: Instant,
        mayRetry: Boolean,
    ): Pair<RetryState, RetryDecision> {
        val next = when (outcome) {
            is AttemptOutcome.NotSent, is AttemptOutcome.NotRun, AttemptOutcome.WrongEndpoint ->
                state.copy(refusals = state.refusals + 1, lastOutcome = outcome)
            is AttemptOutcome.Unknown, is AttemptOutcome.Answered ->
                state.copy(runs = state.runs + 1, lastOutcome = outcome)
        }
        return next to actionFor(next, outcome, now, mayRetry)
    }

    private fun actionFor(
        state: RetryState,
        outcome: AttemptOutcome,
        now: Instant,
        mayRetry: Boolean,
    ): RetryDecision {
        val timeLeft = Duration.between(now, state.deadline).toMillis() > LEAST_USEFUL_MILLISECONDS
        val again = timeLeft && mayRetry
        return when (outcome) {
            is AttemptOutcome.Answered -> {
                val failed = outcome.status >= SERVER_ERROR && state.route.repeatable
                if (failed && again && state.runs < state.route.maxAttempts) {
                    RetryDecision.TryAnother
                } else {
                    RetryDecision.Deliver
                }
            }
            is AttemptOutcome.Unknown ->
                if (again && state.route.repeatable && state.runs < state.route.maxAttempts) {
                    RetryDecision.TryAnother
                } else {
                    RetryDecision.FailMayHaveRun
                }
            is AttemptOutcome.NotSent, is AttemptOutcome.NotRun, AttemptOutcome.WrongEndpoint ->
                if (again && state.refusals <= maxRefusals) RetryDecision.TryAnother else giveUp(state)
        }
    }

    /** What a caller is told when no further endpoint is tried. */
    fun giveUp(state: RetryState): RetryDecision =
        if (state.runs > 0) RetryDecision.FailMayHaveRun else RetryDecision.RefuseNotRun
}
