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
    fun `an idempotent request whose answer was lost goes to another endpoint`() {
        expectThat(decide(route(RouteKind.IDEMPOTENT), lost)).isEqualTo(RetryDecision.TryAnother)
    }

    @Test
    fun `one that may run once only fails as may have run`() {
        expectThat(decide(route(RouteKind.NON_IDEMPOTENT), lost)).isEqualTo(RetryDecision.FailMayHaveRun)
        expectThat(decide(route(RouteKind.STREAMING), lost)).isEqualTo(RetryDecision.FailMayHaveRun)
    }

    @Test
    fun `a stream that may be resumed goes on elsewhere`() {
        expectThat(decide(route(RouteKind.STREAMING, resumable = true), lost)).isEqualTo(RetryDecision.TryAnother)
    }

    @Test
    fun `a refusal is tried elsewhere whatever the kind, and then told as not run`() {
        RouteKind.entries.forEach { kind ->
            expectThat(decide(route(kind), refused)).isEqualTo(RetryDecision.TryAnother)
            expectThat(decide(route(kind), refused, mayRetry = false)).isEqualTo(RetryDecision.RefuseNotRun)
        }
    }

    @Test
    fun `a server's failure is passed on unless another endpoint may still answer`() {
        val failed = AttemptOutcome.Answered(500)
        expectThat(decide(route(RouteKind.IDEMPOTENT), failed)).isEqualTo(RetryDecision.TryAnother)
        expectThat(decide(route(RouteKind.IDEMPOTENT, attempts = 1), failed)).isEqualTo(RetryDecision.Deliver)
        expectThat(decide(route(RouteKind.NON_IDEMPOTENT), failed)).isEqualTo(RetryDecision.Deliver)
    }

    @Test
    fun `nothing is tried again when the time is up`() {
        val late = retryPolicy.decide(state(route(RouteKind.IDEMPOTENT)), refused, now.plusSeconds(4), mayRetry = true)
        expectThat(late.second).isEqualTo(RetryDecision.RefuseNotRun)
    }

    @Provide
    fun outcomes(): Arbitrary<List<AttemptOutcome>> = Arbitraries.of(
        lost,
        refused,
        AttemptOutcome.WrongEndpoint,
        AttemptOutcome.NotSent("connect"),
        AttemptOutcome.Answered(200),
        AttemptOutcome.Answered(500),
        AttemptOutcome.Unknown(UnknownReason.TIMED_OUT),
    ).list().ofMaxSize(8)

    @Property
    fun `whatever happens, a request never runs more often than allowed, and not run is told only when it is true`(
        @ForAll("outcomes") outcomes: List<AttemptOutcome>,
        @ForAll kind: RouteKind,
        @ForAll resumable: Boolean,
    ) {
        val route = route(kind, resumable)
        var state = state(route)
        var runs = 0
        for (outcome in outcomes) {
            runs += if (outcome is AttemptOutcome.Unknown || outcome is AttemptOutcome.Answered) 1 else 0
            val (next, action) = retryPolicy.decide(state, outcome, now, mayRetry = true)
            state = next
            if (action == RetryDecision.RefuseNotRun) {
                expectThat(runs).isEqualTo(0)
            }
            if (action != RetryDecision.TryAnother) {
                break
            }
            expectThat(runs == 0 || route.repeatable).isTrue()
        }
        expectThat(runs).isLessThanOrEqualTo(route.maxAttempts)
    }
}
