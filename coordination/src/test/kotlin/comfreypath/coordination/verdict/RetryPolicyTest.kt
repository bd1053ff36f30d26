package comfreypath.coordination.verdict

import comfreypath.coordination.routing.Route
import comfreypath.coordination.routing.RouteKind
import comfreypath.coordination.routing.testRoute
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import java.time.Instant

class RetryPolicyTest {
    private val retryPolicy = RetryPolicy(maxRefusals = 3)
    private val now = Instant.ofEpochSecond(100)

    private fun route(kind: RouteKind, resumable: Boolean = false, attempts: Int = 2) =
        testRoute().copy(kind = kind, resumable = resumable, maxAttempts = attempts)

    private fun state(route: Route) = RetryState(route, deadline = now.plusSeconds(4))

    private fun decide(route: Route, outcome: AttemptOutcome, mayRetry: Boolean = true) =
        retryPolicy.decide(state(route), outcome, now, mayRetry).second

    private val lost = AttemptOutcome.Unknown(UnknownReason.CONNECTION_LOST)
    private val refused = AttemptOutcome.NotRun(503, null)

    @Test
    fun `an idempotent request whose response was lost is retried at another endpoint`() {
        expectThat(decide(route(RouteKind.IDEMPOTENT), lost)).isEqualTo(RetryDecision.TryAnother)
    }

    @Test
    fun `a request that may run only once fails as may have run when its response is lost`() {
        expectThat(decide(route(RouteKind.NON_IDEMPOTENT), lost)).isEqualTo(RetryDecision.FailMayHaveRun)
        expectThat(decide(route(RouteKind.STREAMING), lost)).isEqualTo(RetryDecision.FailMayHaveRun)
    }

    @Test
    fun `a resumable stream continues at another endpoint`() {
        expectThat(decide(route(RouteKind.STREAMING, resumable = true), lost)).isEqualTo(RetryDecision.TryAnother)
    }

    @Test
    fun `a refused request is retried for every route kind, and reported as not run when no retry is left`() {
        RouteKind.entries.forEach { kind ->
            expectThat(decide(route(kind), refused)).isEqualTo(RetryDecision.TryAnother)
            expectThat(decide(route(kind), refused, mayRetry = false)).isEqualTo(RetryDecision.RefuseNotRun)
        }
    }

    @Test
    fun `a server error is passed on unless another endpoint can still be tried`() {
        val failed = AttemptOutcome.Answered(500)
        expectThat(decide(route(RouteKind.IDEMPOTENT), failed)).isEqualTo(RetryDecision.TryAnother)
        expectThat(decide(route(RouteKind.IDEMPOTENT, attempts = 1), failed)).isEqualTo(RetryDecision.Deliver)
        expectThat(decide(route(RouteKind.NON_IDEMPOTENT), failed)).isEqualTo(RetryDecision.Deliver)
    }

    @Test
    fun `no request is retried after its deadline`() {
        val late = retryPolicy.decide(state(route(RouteKind.IDEMPOTENT)), refused, now.plusSeconds(4), mayRetry = true)
        expectThat(late.second).isEqualTo(RetryDecision.RefuseNotRun)
    }

    @Test
    fun `withheld attempts use up none of the refusals that a request may meet`() {
        val initial = state(route(RouteKind.NON_IDEMPOTENT))
        val (state, decision) = (1..20).fold(initial to RetryDecision.TryAnother as RetryDecision) { (state, _), _ ->
            retryPolicy.decide(state, AttemptOutcome.Withheld, now, mayRetry = true)
        }
        expectThat(state).isEqualTo(initial)
        expectThat(decision).isEqualTo(RetryDecision.TryAnother)
        val late = retryPolicy.decide(initial, AttemptOutcome.Withheld, now.plusSeconds(4), mayRetry = true)
        expectThat(late.second).isEqualTo(RetryDecision.RefuseNotRun)
    }

    @Provide
    fun outcomes(): Arbitrary<List<AttemptOutcome>> = Arbitraries.of(
        lost,
        refused,
        AttemptOutcome.WrongEndpoint,
        AttemptOutcome.NotSent("connect"),
        AttemptOutcome.Withheld,
        AttemptOutcome.Answered(200),
        AttemptOutcome.Answered(500),
        AttemptOutcome.Unknown(UnknownReason.TIMED_OUT),
    ).list().ofMaxSize(8)

    @Property
    fun `a request never runs more often than allowed, and is reported as not run only when that is true`(
        @ForAll("outcomes") outcomes: List<AttemptOutcome>,
        @ForAll kind: RouteKind,
        @ForAll resumable: Boolean,
    ) {
        val route = route(kind, resumable)
        var state = state(route)
        var runs = 0
        for (outcome in outcomes) {
            runs += if (outcome is AttemptOutcome.Unknown || outcome is AttemptOutcome.Answered) 1 else 0
            val (next, decision) = retryPolicy.decide(state, outcome, now, mayRetry = true)
            state = next
            if (decision == RetryDecision.RefuseNotRun) {
                expectThat(runs).isEqualTo(0)
            }
            if (decision != RetryDecision.TryAnother) {
                break
            }
            expectThat(runs == 0 || route.repeatable).isTrue()
        }
        expectThat(runs).isLessThanOrEqualTo(route.maxAttempts)
    }
}
