package comfreypath.coordination.availability

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.ServiceName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant

class AvailabilityPolicyTest {
    private val options = AvailabilityOptions(maxAnnouncements = 3)
    private val policy = AvailabilityPolicy(options)
    private val start = Instant.ofEpochSecond(1_000)
    private val endpoint = incarnation("a")
    private var state = EndpointAnnouncements()

    private fun incarnation(name: String, startedAt: Long? = 1) =
        Incarnation(EndpointName(name), ServiceName("s"), "10.0.0.1", 8080, startedAt)

    private fun at(milliseconds: Long): Instant = start.plusMillis(milliseconds)

    private fun apply(event: AvailabilityEvent, milliseconds: Long = 0): List<AvailabilityChange> {
        val (next, changes) = policy.after(state, event, at(milliseconds))
        state = next
        return changes
    }

    private fun pause(milliseconds: Long, at: Long = 0, of: Incarnation = endpoint) =
        apply(AvailabilityEvent.PauseRequested(of, Duration.ofMillis(milliseconds)), at)

    private fun leave(at: Long = 0, of: Incarnation = endpoint) = apply(AvailabilityEvent.LeavingAnnounced(of), at)

    private fun entries(vararg registered: Incarnation, at: Long) =
        apply(AvailabilityEvent.EntriesSeen { it in registered }, at)

    private fun availability(at: Long, of: Incarnation = endpoint) = policy.availability(state, of, at(at))

    @Test
    fun `an endpoint that has announced nothing is open`() {
        expectThat(availability(0)).isEqualTo(Availability.Open)
        expectThat(state.isEmpty).isTrue()
    }

    @Test
    fun `an endpoint that leaves stays out however long its entry says that it is ready`() {
        expectThat(leave()).containsExactly(AvailabilityChange.TakenOut(endpoint))
        expectThat(leave(at = 10)).isEmpty()
        expectThat(entries(endpoint, at = 86_400_000)).isEmpty()
        expectThat(availability(86_400_000)).isEqualTo(Availability.Leaving)
    }

    @Test
    fun `a pause after an announcement to leave changes nothing`() {
        leave()
        expectThat(pause(100, at = 10)).isEmpty()
        expectThat(availability(5_000)).isEqualTo(Availability.Leaving)
    }

    @Test
    fun `an announcement to leave during a pause takes the endpoint out for good`() {
        pause(100)
        leave(at = 10)
        entries(endpoint, at = 60_000)
        expectThat(availability(60_000)).isEqualTo(Availability.Leaving)
    }

    @Test
    fun `a shorter pause does not shorten a longer one, in either order`() {
        pause(4_000)
        expectThat(pause(500, at = 10)).isEmpty()
        expectThat(availability(3_999)).isEqualTo(Availability.Paused(at(4_000)))
        state = EndpointAnnouncements()
        pause(500)
        expectThat(pause(4_000, at = 10)).containsExactly(AvailabilityChange.Paused(endpoint, Duration.ofMillis(4_000)))
        expectThat(availability(600)).isEqualTo(Availability.Paused(at(4_010)))
    }

    @Test
    fun `the responses of one moment report one pause`() {
        expectThat(pause(4_000).size).isEqualTo(1)
        expectThat((1L..20L).flatMap { pause(4_000, at = it) }).isEmpty()
        expectThat(availability(4_019)).isEqualTo(Availability.Paused(at(4_020)))
    }

    @Test
    fun `a pause of no time pauses nothing`() {
        expectThat(pause(0)).isEmpty()
        expectThat(state.isEmpty).isTrue()
    }

    @Test
    fun `work returns by steps when a pause ends`() {
        pause(1_000)
        val moments = listOf(999L, 1_000L, 1_249L, 1_250L, 1_500L, 1_750L, 2_000L, 4_999L, 5_000L)
        expectThat(moments.map { availability(it) }).containsExactly(
            Availability.Paused(at(1_000)),
            Availability.Recovering(0, 1.0),
            Availability.Recovering(0, 1.0),
            Availability.Recovering(1, 1.5),
            Availability.Recovering(2, 2.0),
            Availability.Recovering(3, 2.5),
            Availability.Recovering(4, 3.0),
            Availability.Recovering(15, 3.0),
            Availability.Open,
        )
        expectThat(entries(endpoint, at = 4_999)).isEmpty()
        expectThat(entries(endpoint, at = 5_000))
            .containsExactly(AvailabilityChange.Cleared(endpoint, ClearReason.PAUSE_OVER))
        expectThat(state.isEmpty).isTrue()
    }

    @Test
    fun `an absurdly long pause ends with the incarnation and no sooner`() {
        apply(AvailabilityEvent.PauseRequested(endpoint, Duration.ofSeconds(Long.MAX_VALUE)))
        expectThat(availability(86_400_000).allowsRequests).isFalse()
        expectThat(availability(86_400_000, of = endpoint.copy(startedAt = 2))).isEqualTo(Availability.Open)
    }

    @Test
    fun `an announcement does not concern another server with the same name or the same address`() {
        leave()
        listOf(
            endpoint.copy(startedAt = 2),
            endpoint.copy(host = "10.0.0.2"),
            endpoint.copy(port = 8081),
            endpoint.copy(service = ServiceName("t")),
            endpoint.copy(name = EndpointName("b")),
        ).forEach { expectThat(availability(1, of = it)).isEqualTo(Availability.Open) }
    }

    @Test
    fun `a late response of an earlier start does not concern the next one`() {
        val next = endpoint.copy(startedAt = 2)
        leave(of = next)
        pause(10, at = 1, of = endpoint)
        expectThat(availability(2, of = next)).isEqualTo(Availability.Leaving)
    }

    @Test
    fun `an entry that is gone for a while clears nothing, and one that stays away does`() {
        leave()
        entries(at = 0)
        entries(endpoint, at = 599_000)
        entries(at = 600_000)
        expectThat(entries(at = 1_199_000)).isEmpty()
        expectThat(availability(1_199_000)).isEqualTo(Availability.Leaving)
        expectThat(entries(at = 1_200_000))
            .containsExactly(AvailabilityChange.Cleared(endpoint, ClearReason.ENTRY_GONE))
        expectThat(state.isEmpty).isTrue()
    }

    @Test
    fun `an entry without a start time that is gone and returns is a new start`() {
        val undated = incarnation("u", startedAt = null)
        leave(of = undated)
        expectThat(entries(at = 1)).containsExactly(AvailabilityChange.Cleared(undated, ClearReason.ENTRY_GONE))
        expectThat(availability(2, of = undated)).isEqualTo(Availability.Open)
    }

    @Test
    fun `announcements are bounded, and those of servers without an entry are dropped first`() {
        val all = listOf("a", "b", "c", "d").map { incarnation(it) }
        leave(of = all[0])
        pause(60_000, of = all[1])
        leave(of = all[2])
        entries(all[1], all[2], at = 1)
        leave(of = all[3], at = 2)
        expectThat(state.byIncarnation.size).isLessThanOrEqualTo(options.maxAnnouncements)
        expectThat(all.map { availability(3, of = it).allowsRequests }).containsExactly(true, false, false, false)
        leave(of = incarnation("e"), at = 4)
        expectThat(all.map { availability(5, of = it).allowsRequests }).containsExactly(true, true, false, false)
    }
}
