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

    private fun request(patience: Long, team: String = "team-1", spread: Double = 0.5) =
        AdmissionRequest(TeamName(team), Duration.ofMillis(patience), spread)

    @Test
    fun `nothing is refused while one endpoint has a free slot`() {
        val endpoints = full + Occupancy(load = 5, slots = 6)
        val hog = mapOf(TeamName("team-1") to 50, TeamName("team-2") to 1)
        expectThat(policy.admit(request(patience = 1), endpoints, times, hog)).isEqualTo(Admission.Admitted)
    }

    @Test
    fun `nothing is refused before it is known how long work takes`() {
        val unknown = ExpectedTimes(holdTime = null, responseTime = null)
        expectThat(policy.admit(request(patience = 1), full, unknown, emptyMap())).isEqualTo(Admission.Admitted)
    }

    @Test
    fun `a request that could not be answered in its patience is refused, with the time until it could be`() {
        val queued = sequenceOf(1, 2, 3).map { Occupancy(load = 30, slots = 6) }
        val refused = policy.admit(request(patience = 200, spread = 0.0), queued, times, emptyMap())
        expectThat(refused).isA<Admission.Refused>().get { reason }.isEqualTo(RefusalReason.TOO_LATE)
        // 25 requests stand before it for 6 slots of 60 ms: 250 ms, 60 ms for itself, and 30 ms to spare.
        expectThat(refused).isA<Admission.Refused>().get { retryAfter }.isEqualTo(Duration.ofMillis(140))
        expectThat(policy.admit(request(patience = 340), queued, times, emptyMap())).isEqualTo(Admission.Admitted)
    }

    @Test
    fun `those that are refused together come back apart`() {
        val queued = sequenceOf(1, 2, 3).map { Occupancy(load = 60, slots = 6) }
        val retries = (0..10).map { policy.admit(request(100, spread = it / 10.0), queued, times, emptyMap()) }
            .map { (it as Admission.Refused).retryAfter }
        expectThat(retries.last() - retries.first()).isEqualTo(holdTime)
        expectThat(retries.distinct().size).isEqualTo(11)
    }

    @Test
    fun `a lone team may use everything`() {
        val alone = mapOf(TeamName("team-1") to 40)
        expectThat(policy.admit(request(patience = 4_000), full, times, alone)).isEqualTo(Admission.Admitted)
    }

    @Test
    fun `one team's surge leaves the other teams' requests on time`() {
        val without = SurgeReplay(policy = null).run()
        val with = SurgeReplay(policy).run()
        expectThat(without.othersOnTime).isLessThan(0.7)
        expectThat(with.othersOnTime).isGreaterThan(0.97)
        expectThat(with.refusedWhileFree).isEqualTo(0)
        expectThat(with.answered).isGreaterThanOrEqualTo((without.answered * 0.97).toInt())
    }

    @Test
    fun `endpoints lost at the peak are not drowned in requests whose callers have left`() {
        val lost = SurgeReplay(policy, surge = 1.0, endpoints = 1, perSecond = 160.0, patience = 250).run()
        val without = SurgeReplay(null, surge = 1.0, endpoints = 1, perSecond = 160.0, patience = 250).run()
        expectThat(lost.onTime).isGreaterThan(without.onTime)
        expectThat(lost.answeredTooLate).isLessThanOrEqualTo(without.answeredTooLate / 4)
        expectThat(lost.refusedWhileFree).isEqualTo(0)
    }
}
