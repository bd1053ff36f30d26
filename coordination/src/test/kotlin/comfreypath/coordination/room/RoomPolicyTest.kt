package comfreypath.coordination.room

import comfreypath.coordination.model.TeamName
import comfreypath.coordination.overload.Admission
import comfreypath.coordination.overload.ExpectedTimes
import comfreypath.coordination.overload.RefusalReason
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant

class RoomPolicyTest {
    private val policy = RoomPolicy()
    private val times = ExpectedTimes(holdTime = Duration.ofMillis(400), responseTime = Duration.ofMillis(100))
    private val free = room(load = 9)
    private val full = room(load = 14)
    private val request = RoomRequest(
        kind = "chat",
        team = TeamName("team"),
        priority = 0,
        size = null,
        timeLeft = Duration.ofSeconds(4),
        target = Duration.ofSeconds(2),
        budget = Duration.ofSeconds(9),
    )

    private fun room(load: Int) = ServiceRoom.of(
        listOf(EndpointLoad(load.toDouble(), slots = 10)),
        own = load,
        peers = 0,
        reportAge = Duration.ZERO,
        pace = 1.0,
    )

    private fun at(milliseconds: Int) = Instant.EPOCH.plusMillis(milliseconds.toLong())

    private fun decide(state: RoomState, request: RoomRequest, room: ServiceRoom, milliseconds: Int) =
        policy.decide(state, request, room, times, at(milliseconds))

    /** The state after one request every 10 ms for a second, which is four times what ten slots can do. */
    private fun crowded() = (0 until 100).fold(RoomState()) { state, step ->
        decide(state, request, full, milliseconds = step * 10).state
    }

    @Test
    fun `nothing is refused while a place is free`() {
        val decision = decide(crowded(), request.copy(timeLeft = Duration.ofMillis(1)), free, milliseconds = 1_000)
        expectThat(decision.admission).isEqualTo(Admission.Admitted)
    }

    @Test
    fun `what can't be answered in its time is refused at once, also by a router that has measured nothing`() {
        val hopeless = request.copy(timeLeft = Duration.ofMillis(300))
        val refused = policy.decide(RoomState(), hopeless, full, ExpectedTimes(null, null), at(0)).admission
        expectThat(refused).isA<Admission.Refused>().get { reason }.isEqualTo(RefusalReason.TOO_LATE)
    }

    @Test
    fun `a team that returns is served whole at once while another offers too much`() {
        val other = decide(crowded(), request.copy(team = TeamName("other")), full, milliseconds = 1_000)
        expectThat(other.flowShare).isEqualTo(1.0)
        expectThat(other.admission).isEqualTo(Admission.Admitted)
        expectThat(decide(other.state, request, full, milliseconds = 1_001).flowShare).isLessThan(0.5)
    }

    @Test
    fun `a caller that comes back as it was told goes before those that did not wait`() {
        val state = crowded().let { known ->
            known.copy(flows = known.flows.put(request.flow, known.flows.getValue(request.flow).copy(credit = -500.0)))
        }
        val told = ExpectedReturn(since = at(800), due = at(1_000), until = at(5_000))
        val expecting = state.withReturn(7, told, at(900))
        val returning = request.copy(identity = 7)
        expectThat(decide(expecting, request.copy(identity = 8), full, 1_000).admission).isA<Admission.Refused>()
        expectThat(decide(expecting, returning, full, 1_000)).and {
            get { this.returning }.isTrue()
            get { admission }.isEqualTo(Admission.Admitted)
        }
        val early = decide(expecting, returning, full, 900)
        expectThat(early.returning).isFalse()
        expectThat(early.admission).isA<Admission.Refused>().get { retryAfter }.isEqualTo(Duration.ofMillis(150))
    }

    @Test
    fun `a router that does not know the caller tells a return by its shorter budget`() {
        val returning = request.copy(budget = Duration.ofSeconds(8))
        expectThat(decide(crowded(), returning, full, 1_000).returning).isTrue()
        expectThat(decide(crowded(), request, full, 1_000).returning).isFalse()
    }

    @Test
    fun `callers that are refused together come back at different times, within what they honour`() {
        var state = crowded()
        val delays = (0 until 40).mapNotNull { step ->
            val decision = decide(state, request.copy(identity = step.toLong(), jitter = step / 40.0), full, 1_000)
            state = decision.state
            (decision.admission as? Admission.Refused)?.retryAfter
        }
        expectThat(delays.distinct().size).isGreaterThan(delays.size / 2)
        expectThat(delays.max()).isLessThanOrEqualTo(request.timeLeft.dividedBy(3))
    }

    @Test
    fun `without reports each router keeps to its share of the slots`() {
        val alone = ServiceRoom.of(
            listOf(EndpointLoad(load = 3.0, slots = 10)),
            own = 3,
            peers = 4,
            reportAge = Duration.ofSeconds(10),
            pace = 1.0,
        )
        expectThat(alone.load).isEqualTo(15.0)
        expectThat(alone.hasPlaceFor(jitter = 0.0)).isFalse()
    }
}
