package comfreypath.coordination.fleet

import comfreypath.coordination.Step
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.map
import strikt.assertions.single
import java.time.Instant

class FleetTest {
    private val options = FleetOptions()
    private val fleet = Fleet(options)
    private val south = DataCentreName("south")
    private val start = Instant.ofEpochMilli(1_000_000)
    private val self = PeerAddress(InstanceName("a"), "10.0.0.1", 7, south)
    private val other = PeerAddress(InstanceName("b"), "10.0.0.2", 7, south)
    private val known = fleet.step(
        FleetState(self.name, incarnation = 11),
        FleetEvent.Registered(listOf(self, other)),
        start,
    ).state

    private fun statusOf(milliseconds: Long, echo: StatusStamp? = null, proof: ConfigurationProof? = null) =
        PeerStatus(other.name, south, StatusStamp(22, milliseconds), echo, configuration = proof)

    private fun heard(state: FleetState, status: PeerStatus, at: Instant) =
        fleet.step(state, FleetEvent.Heard(status, other), at)

    @Test
    fun `statuses go to every other registered router, at the interval`() {
        val own = PeerStatus(self.name, south, StatusStamp(11, 0))
        val first = fleet.step(known, FleetEvent.Due(own), start)
        expectThat(first.actions.filterIsInstance<FleetAction.Send>()).map { it.to }.containsExactly(other)
        val tooEarly = start + options.interval(1).dividedBy(2)
        expectThat(fleet.step(first.state, FleetEvent.Due(own), tooEarly).actions).isEmpty()
    }

    @Test
    fun `a proof is dated by the status that it echoes, not by its arrival`() {
        val echo = StatusStamp(11, start.toEpochMilli())
        val late = start.plusSeconds(4)
        val step = heard(known, statusOf(5, echo, ConfigurationProof(7, ageMilliseconds = 300)), late)
        val confirm = step.actions.filterIsInstance<FleetAction.Confirm>()
        expectThat(confirm).single().get { confirmedAt }.isEqualTo(start.minusMillis(300))
    }

    @Test
    fun `a proof that echoes an earlier start of this process proves nothing`() {
        val echo = StatusStamp(10, start.toEpochMilli())
        val step = heard(known, statusOf(5, echo, ConfigurationProof(7, ageMilliseconds = 0)), start)
        expectThat(step.actions.filterIsInstance<FleetAction.Confirm>()).isEmpty()
    }

    @Test
    fun `a status that was overtaken is ignored`() {
        val newer = heard(known, statusOf(9), start).state
        val state = heard(newer, statusOf(8), start.plusSeconds(1)).state
        expectThat(state.peers.getValue(other.name).heardAt).isEqualTo(start)
    }

    @Test
    fun `a silent peer is no longer live`() {
        val state = heard(known, statusOf(1), start).state
        expectThat(state.live(options, start + options.liveness(1).dividedBy(2)).size).isEqualTo(1)
        expectThat(state.live(options, start + options.liveness(1))).isEmpty()
    }

    @Test
    fun `a seed is greeted until it is known, and a peer that was only heard gets statuses`() {
        val seeded = FleetState(self.name, 11, seeds = persistentListOf(other.copy(name = InstanceName("10.0.0.2:7"))))
        val own = PeerStatus(self.name, south, StatusStamp(11, 0))
        val greeted = fleet.step(seeded, FleetEvent.Due(own), start)
        expectThat(greeted.actions.filterIsInstance<FleetAction.Send>()).single().get { to.endpoint }
            .isEqualTo("10.0.0.2:7")
        val answered = heard(greeted.state, statusOf(1), start).state
        val next = fleet.step(answered, FleetEvent.Due(own), start.plusSeconds(2))
        expectThat(next.actions.filterIsInstance<FleetAction.Send>()).single().get { status.echo }
            .isEqualTo(StatusStamp(22, 1))
    }

    @Test
    fun `news are told at once, and together`() {
        val own = PeerStatus(self.name, south, StatusStamp(11, 0))
        val told = fleet.step(known, FleetEvent.Due(own), start).state
        val first = fleet.step(told, FleetEvent.News(toAll = false), start.plusMillis(10)).state
        val second = fleet.step(first, FleetEvent.News(toAll = true), start.plusMillis(20)).state
        val toldAt = start.plusMillis(10) + options.newsDelay
        expectThat(second.dueAt).isEqualTo(toldAt)
        val next = fleet.step(second, FleetEvent.Due(own), toldAt)
        expectThat(next.actions.filterIsInstance<FleetAction.Send>()).map { it.to }.containsExactly(other)
        expectThat(next.state.dueAt).isEqualTo(toldAt + options.interval(1))
    }

    @Test
    fun `in a large fleet a change costs statuses in proportion to the fleet`() {
        val routers = (1..LARGE).map { PeerAddress(InstanceName("r$it"), "10.0.1.$it", 7, south) } + self
        val own = PeerStatus(self.name, south, StatusStamp(11, 0))
        val listed = fleet.step(known, FleetEvent.Registered(routers), start).state
        val idle = fleet.step(listed, FleetEvent.Due(own), start).state

        fun told(toAll: Boolean): Step<FleetState, FleetAction> {
            val news = fleet.step(idle, FleetEvent.News(toAll), start).state
            return fleet.step(news, FleetEvent.Due(own), start + options.newsDelay)
        }
        expectThat(told(toAll = true).actions.size).isEqualTo(LARGE)
        val few = told(toAll = false)
        expectThat(few.actions.size).isEqualTo(options.newsPeers)
        expectThat(few.state.dueAt).isEqualTo(idle.nextStatusAt)
    }

    @Test
    fun `a change that one router learns reaches a large fleet although each tells a few`() {
        val routers = (1..LARGE).map { PeerAddress(InstanceName("r$it"), "10.0.1.$it", 7, south) }
        val states = routers.associate { router ->
            val state = FleetState(router.name, incarnation = 1, nextStatusAt = start.plusSeconds(1))
            router.name to fleet.step(state, FleetEvent.Registered(routers), start).state
        }
        val knowing = mutableSetOf(routers.first().name)
        var learnt: Set<InstanceName> = knowing.toSet()
        var round = 0
        while (learnt.isNotEmpty()) {
            round += 1
            val at = start + options.newsDelay.multipliedBy(round.toLong())
            learnt = learnt.flatMap { name ->
                val news = fleet.step(states.getValue(name), FleetEvent.News(toAll = false), start).state
                val own = PeerStatus(name, south, StatusStamp(1, at.toEpochMilli()))
                val sends = fleet.step(news, FleetEvent.Due(own), at).actions.filterIsInstance<FleetAction.Send>()
                sends.map { it.to.name }
            }.toSet() - knowing
            knowing += learnt
        }
        expectThat(knowing.size).isGreaterThanOrEqualTo(LARGE - 1)
        expectThat(round).isLessThanOrEqualTo(MOST_ROUNDS)
    }

    @Test
    fun `the interval grows with the fleet so that a router's traffic does not`() {
        val small = options.interval(8).toMillis().toDouble() / 8
        val large = options.interval(399).toMillis().toDouble() / 399
        expectThat(large).isEqualTo(options.perPeer.toMillis().toDouble())
        expectThat(small >= large).isEqualTo(true)
    }

    private companion object {
        const val LARGE = 87

        /** 8 + 64 routers are told in two rounds; the last ones, and those told twice, take a few more. */
        const val MOST_ROUNDS = 6
    }
}
