package comfreypath.coordination.overload

import comfreypath.coordination.model.TeamName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import java.time.Duration

class OverloadPolicyTest {
    private val policy = OverloadPolicy()
    private val holdTime = Duration.ofMillis(60)
    private val times = ExpectedTimes(holdTime = holdTime, responseTime = holdTime)
    private val full = sequenceOf(1, 2, 3).map { Occupancy(load = 6, slots = 6) }

    private fun request(timeLeft: Long, team: String = "team-1", jitter: Double = 0.5) =
        AdmissionRequest(TeamName(team), Duration.ofMillis(timeLeft), jitter)

    @Test
    fun `nothing is refused while one endpoint has a free slot`() {
        val endpoints = full + Occupancy(load = 5, slots = 6)
        val dominant = mapOf(TeamName("team-1") to 50, TeamName("team-2") to 1)
        expectThat(policy.admit(request(timeLeft = 1), endpoints, times, dominant)).isEqualTo(Admission.Admitted)
    }

    @Test
    fun `nothing is refused before the hold time is known`() {
        val unknown = ExpectedTimes(holdTime = null, responseTime = null)
        expectThat(policy.admit(request(timeLeft = 1), full, unknown, emptyMap())).isEqualTo(Admission.Admitted)
    }

    @Test
    fun `a request that could not be answered in its remaining time is refused with the time until it could be`() {
        val queued = sequenceOf(1, 2, 3).map { Occupancy(load = 30, slots = 6) }
        val refused = policy.admit(request(timeLeft = 200, jitter = 0.0), queued, times, emptyMap())
        expectThat(refused).isA<Admission.Refused>().get { reason }.isEqualTo(RefusalReason.TOO_LATE)
        // 25 requests must finish first on 6 slots of 60 ms: 250 ms, plus 60 ms for the request and a margin of 30 ms.
        expectThat(refused).isA<Admission.Refused>().get { retryAfter }.isEqualTo(Duration.ofMillis(140))
        expectThat(policy.admit(request(timeLeft = 340), queued, times, emptyMap())).isEqualTo(Admission.Admitted)
    }

    @Test
    fun `retries of requests refused together are spread over one hold time`() {
        val queued = sequenceOf(1, 2, 3).map { Occupancy(load = 60, slots = 6) }
        val retries = (0..10).map { policy.admit(request(100, jitter = it / 10.0), queued, times, emptyMap()) }
            .map { (it as Admission.Refused).retryAfter }
        expectThat(retries.last() - retries.first()).isEqualTo(holdTime)
        expectThat(retries.distinct().size).isEqualTo(11)
    }

    @Test
    fun `a single team may use the whole capacity`() {
        val alone = mapOf(TeamName("team-1") to 40)
        expectThat(policy.admit(request(timeLeft = 4_000), full, times, alone)).isEqualTo(Admission.Admitted)
    }

    @Test
    fun `a surge of one team leaves the requests of other teams on time`() {
        val without = SurgeReplay(policy = null).run()
        val with = SurgeReplay(policy).run()
        expectThat(without.othersOnTimeShare).isLessThan(0.7)
        expectThat(with.othersOnTimeShare).isGreaterThan(0.97)
        expectThat(with.refusedWhileFree).isEqualTo(0)
        expectThat(with.answered).isGreaterThanOrEqualTo((without.answered * 0.97).toInt())
    }

    @Test
    fun `after a loss of endpoints at peak load few requests are answered after their callers have left`() {
        val with = SurgeReplay(policy, surgeFactor = 1.0, endpoints = 1, perSecond = 160.0, callerTimeout = 250).run()
        val without = SurgeReplay(null, surgeFactor = 1.0, endpoints = 1, perSecond = 160.0, callerTimeout = 250).run()
        expectThat(with.onTimeShare).isGreaterThan(without.onTimeShare)
        expectThat(with.answeredTooLate).isLessThanOrEqualTo(without.answeredTooLate / 4)
        expectThat(with.refusedWhileFree).isEqualTo(0)
    }
}
