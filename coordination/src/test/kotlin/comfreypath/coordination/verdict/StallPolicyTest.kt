package comfreypath.coordination.verdict

import comfreypath.coordination.overload.FirstEventTimeout
import comfreypath.coordination.routing.Route
import comfreypath.coordination.routing.RouteKind
import comfreypath.coordination.routing.testRoute
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.time.Duration
import java.time.Instant

class StallPolicyTest {
    private val sentAt = Instant.ofEpochSecond(100)
    private val stream = testRoute().copy(kind = RouteKind.STREAMING, resumable = true)

    private fun state(route: Route = stream) = RetryState(route, sentAt + route.timeout)

    /** Replays an attempt whose endpoint is silent for [silence]; returns when it was left, and the reasons to stay. */
    private fun replay(
        silence: Duration,
        state: RetryState = state(),
        alternative: (Instant) -> Alternative,
    ): Pair<Duration?, Set<WaitReason>> {
        val reasons = LinkedHashSet<WaitReason>()
        var now = sentAt
        while (now < sentAt + silence && now < state.deadline) {
            when (val decision = StallPolicy.decide(state, sentAt, now) { alternative(now) }) {
                StallDecision.MoveOn -> return Duration.between(sentAt, now) to reasons
                is StallDecision.KeepWaiting -> {
                    decision.reason?.let { reasons += it }
                    now += decision.time
                }
            }
        }
        return null to reasons
    }

    private val soundSilences = listOf(1_000L, 1_200L, 1_500L).map { Duration.ofMillis(it) }

    @Test
    fun `a request stays at a sound endpoint that is silent for a second if no other one takes it`() {
        soundSilences.forEach { silence ->
            expectThat(replay(silence) { Alternative.NO_ENDPOINT }.first).isNull()
            expectThat(replay(silence) { Alternative.NO_RETRY }.first).isNull()
        }
        expectThat(replay(Duration.ofMillis(1_500)) { Alternative.NO_ENDPOINT }.second)
            .containsExactly(WaitReason.NO_OTHER_ENDPOINT)
    }

    @Test
    fun `a request leaves a silent endpoint once another one takes it, before its caller gives up`() {
        val leftAt = replay(Duration.ofSeconds(9)) { Alternative.RESERVED }.first
        expectThat(leftAt).isEqualTo(Duration.ofMillis(1_000))
        val laterTakenAt = sentAt.plusMillis(1_450)
        val leftLater = replay(Duration.ofSeconds(9)) {
            if (it < laterTakenAt) Alternative.NO_ENDPOINT else Alternative.RESERVED
        }.first
        expectThat(leftLater).isNotNull().isLessThan(FirstEventTimeout.of(stream))
    }

    @Test
    fun `a request that may not run again stays and reserves nothing`() {
        val unrepeatable = listOf(stream.copy(resumable = false), stream.copy(maxAttempts = 1))
        unrepeatable.forEach { route ->
            val (leftAt, reasons) = replay(Duration.ofSeconds(9), state(route)) { error("reserved for nothing") }
            expectThat(leftAt).isNull()
            expectThat(reasons).containsExactly(WaitReason.NO_ATTEMPT_LEFT)
        }
    }

    @Test
    fun `a request without time for another attempt stays`() {
        val almostOver = state().copy(deadline = sentAt.plusMillis(1_050))
        val (leftAt, reasons) = replay(Duration.ofSeconds(9), almostOver) { error("reserved for nothing") }
        expectThat(leftAt).isNull()
        expectThat(reasons).containsExactly(WaitReason.NO_TIME_LEFT)
    }

    @Test
    fun `a lost response is noticed while a request with little time can still be answered elsewhere`() {
        val short = testRoute().copy(latencyTarget = Duration.ofMillis(196), timeout = Duration.ofMillis(1_016))
        val leftAt = replay(Duration.ofSeconds(9), state(short)) { Alternative.RESERVED }.first
        expectThat(leftAt).isEqualTo(Duration.ofMillis(508))
        val long = replay(Duration.ofSeconds(9), state(testRoute())) { Alternative.RESERVED }.first
        expectThat(long).isEqualTo(Duration.ofMillis(1_000))
        val late = short.copy(latencyTarget = Duration.ofMillis(600))
        expectThat(replay(Duration.ofSeconds(9), state(late)) { Alternative.RESERVED }.first)
            .isEqualTo(Duration.ofMillis(600))
    }

    @Test
    fun `a request does not wait long for an endpoint whose data centre is out`() {
        val out = Suspicion(dataCentreOut = true)
        val decisions = listOf(299L, 300L).map { silence ->
            StallPolicy.decide(state(), sentAt, sentAt.plusMillis(silence), out) { Alternative.RESERVED }
        }
        expectThat(decisions)
            .containsExactly(StallDecision.KeepWaiting(Duration.ofMillis(1), null), StallDecision.MoveOn)
    }

    @Test
    fun `a request stays longer at an endpoint that tells that work takes longer`() {
        val now = sentAt.plusMillis(1_200)
        val slow = Suspicion(patience = 2.5)
        val decision = StallPolicy.decide(state(), sentAt, now, slow) { error("reserved for nothing") }
        expectThat(decision).isEqualTo(StallDecision.KeepWaiting(Duration.ofMillis(1_300), null))
        val limit = sentAt.plusMillis(2_500)
        val later = StallPolicy.decide(state(), sentAt, limit, slow) { Alternative.RESERVED }
        expectThat(later).isEqualTo(StallDecision.MoveOn)
    }

    @Test
    fun `an endpoint that is not awaited does not count as silent`() {
        val decision = StallPolicy.decide(state(), null, sentAt.plusSeconds(3)) { error("reserved for nothing") }
        expectThat(decision).isEqualTo(StallDecision.KeepWaiting(Duration.ofMillis(1_000), null))
    }
}
