package comfreypath.coordination.fleet

import comfreypath.coordination.Step
import comfreypath.coordination.evidence.PartReport
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

class GossipProtocolTest {
    private val options = GossipOptions()
    private val protocol = GossipProtocol(options)
    private val south = DataCentreName("south")
    private val start = Instant.ofEpochMilli(1_000_000)
    private val self = PeerAddress(InstanceName("a"), "10.0.0.1", 7, south)
    private val other = PeerAddress(InstanceName("b"), "10.0.0.2", 7, south)
    private val known = protocol.step(
        GossipState(self.name, incarnation = 11),
        GossipEvent.Registered(listOf(self, other)),
        start,
    ).state

    private fun statusOf(milliseconds: Long, echo: StatusStamp? = null, freshness: ConfigurationFreshness? = null) =
        PeerStatus(other.name, south, StatusStamp(22, milliseconds), echo, configuration = freshness)

    private fun received(state: GossipState, status: PeerStatus, at: Instant) =
        protocol.step(state, GossipEvent.StatusReceived(status, other), at)

    @Test
    fun `status messages go to every other registered router at the interval`() {
        val own = PeerStatus(self.name, south, StatusStamp(11, 0))
        val first = protocol.step(known, GossipEvent.Tick(own), start)
        expectThat(first.actions.filterIsInstance<GossipAction.Send>()).map { it.to }.containsExactly(other)
        val tooEarly = start + options.interval(1).dividedBy(2)
        expectThat(protocol.step(first.state, GossipEvent.Tick(own), tooEarly).actions).isEmpty()
    }

    private fun receivedFrom(state: GossipState, name: String, at: Instant, milliseconds: Long = 1) = protocol.step(
        state,
        GossipEvent.StatusReceived(
            PeerStatus(InstanceName(name), south, StatusStamp(1, milliseconds), replyRequested = true),
            PeerAddress(InstanceName(name), "10.9.9.9", 7, south),
        ),
        at,
    )

    private fun withCrowd(from: Int = 1, state: GossipState = known, at: Instant = start) =
        (from until from + 2 * options.maxUnregisteredPeers)
            .fold(state) { crowd, number -> receivedFrom(crowd, "ghost-$number", at).state }

    @Test
    fun `routers that the store does not list are kept up to a maximum, and those that it lists beyond`() {
        val crowd = withCrowd()
        expectThat(crowd.peers.size).isEqualTo(options.maxUnregisteredPeers + 1)
        val refused = receivedFrom(crowd, "ghost-0", start)
        expectThat(refused.state).isEqualTo(crowd)
        expectThat(refused.actions).isEmpty()
        expectThat(receivedFrom(crowd, "b", start).state.peers.getValue(other.name).receivedAt).isEqualTo(start)
        val later = listOf(self, other, PeerAddress(InstanceName("c"), "10.0.0.3", 7, south))
        val listed = protocol.step(crowd, GossipEvent.Registered(later), start).state
        expectThat(receivedFrom(listed, "c", start).actions.filterIsInstance<GossipAction.Reply>()).single()
    }

    @Test
    fun `a router that the store does not list yet takes the place of one that is silent`() {
        val crowd = withCrowd()
        val silent = start + options.livenessTimeout(crowd.peers.size)
        val joined = receivedFrom(crowd, "new", silent).state
        expectThat(joined.peers.size).isEqualTo(crowd.peers.size)
        expectThat(joined.peers.getValue(InstanceName("new")).receivedAt).isEqualTo(silent)
        expectThat(receivedFrom(crowd, "new", silent.minusMillis(1)).state).isEqualTo(crowd)
    }

    @Test
    fun `a freshness confirmation is dated by its echo, not by its arrival`() {
        val echo = StatusStamp(11, start.toEpochMilli())
        val late = start.plusSeconds(4)
        val step = received(known, statusOf(5, echo, ConfigurationFreshness(7, ageMilliseconds = 300)), late)
        val confirm = step.actions.filterIsInstance<GossipAction.ConfirmConfiguration>()
        expectThat(confirm).single().get { confirmedAt }.isEqualTo(start.minusMillis(300))
    }

    @Test
    fun `a confirmation that echoes an earlier incarnation of this process is ignored`() {
        val echo = StatusStamp(10, start.toEpochMilli())
        val step = received(known, statusOf(5, echo, ConfigurationFreshness(7, ageMilliseconds = 0)), start)
        expectThat(step.actions.filterIsInstance<GossipAction.ConfirmConfiguration>()).isEmpty()
    }

    @Test
    fun `a status message that arrives after a newer one is ignored`() {
        val newer = received(known, statusOf(9), start).state
        val state = received(newer, statusOf(8), start.plusSeconds(1)).state
        expectThat(state.peers.getValue(other.name).receivedAt).isEqualTo(start)
    }

    @Test
    fun `a silent peer is no longer live`() {
        val state = received(known, statusOf(1), start).state
        expectThat(state.livePeers(options, start + options.livenessTimeout(1).dividedBy(2)).size).isEqualTo(1)
        expectThat(state.livePeers(options, start + options.livenessTimeout(1))).isEmpty()
    }

    @Test
    fun `a seed gets status messages until it is known, and an unregistered sender gets them too`() {
        val seeded = GossipState(self.name, 11, seeds = persistentListOf(other.copy(name = InstanceName("10.0.0.2:7"))))
        val own = PeerStatus(self.name, south, StatusStamp(11, 0))
        val contacted = protocol.step(seeded, GossipEvent.Tick(own), start)
        expectThat(contacted.actions.filterIsInstance<GossipAction.Send>()).single().get { to.endpoint }
            .isEqualTo("10.0.0.2:7")
        val answered = received(contacted.state, statusOf(1), start).state
        val next = protocol.step(answered, GossipEvent.Tick(own), start.plusSeconds(2))
        expectThat(next.actions.filterIsInstance<GossipAction.Send>()).single().get { echo }
            .isEqualTo(StatusStamp(22, 1))
    }

    @Test
    fun `updates are sent after the update delay, in one message`() {
        val own = PeerStatus(self.name, south, StatusStamp(11, 0))
        val idle = protocol.step(known, GossipEvent.Tick(own), start).state
        val first = protocol.step(idle, GossipEvent.UpdateLearned(toAll = false), start.plusMillis(10)).state
        val second = protocol.step(first, GossipEvent.UpdateLearned(toAll = true), start.plusMillis(20)).state
        val sentAt = start.plusMillis(10) + options.updateDelay
        expectThat(second.dueAt).isEqualTo(sentAt)
        val next = protocol.step(second, GossipEvent.Tick(own), sentAt)
        expectThat(next.actions.filterIsInstance<GossipAction.Send>()).map { it.to }.containsExactly(other)
        expectThat(next.state.dueAt).isEqualTo(sentAt + options.interval(1))
    }

    @Test
    fun `in a large fleet a change costs messages in proportion to the fleet`() {
        val routers = (1..LARGE).map { PeerAddress(InstanceName("r$it"), "10.0.1.$it", 7, south) } + self
        val own = PeerStatus(self.name, south, StatusStamp(11, 0))
        val listed = protocol.step(known, GossipEvent.Registered(routers), start).state
        val idle = protocol.step(listed, GossipEvent.Tick(own), start).state

        fun afterUpdate(toAll: Boolean): Step<GossipState, GossipAction> {
            val pending = protocol.step(idle, GossipEvent.UpdateLearned(toAll), start).state
            return protocol.step(pending, GossipEvent.Tick(own), start + options.updateDelay)
        }
        expectThat(afterUpdate(toAll = true).actions.size).isEqualTo(LARGE)
        val few = afterUpdate(toAll = false)
        expectThat(few.actions.size).isEqualTo(options.updateFanout)
        expectThat(few.state.dueAt).isEqualTo(idle.nextStatusAt)
    }

    @Test
    fun `a change that one router learns reaches a large fleet although each router tells only a few`() {
        val routers = (1..LARGE).map { PeerAddress(InstanceName("r$it"), "10.0.1.$it", 7, south) }
        val states = routers.associate { router ->
            val state = GossipState(router.name, incarnation = 1, nextStatusAt = start.plusSeconds(1))
            router.name to protocol.step(state, GossipEvent.Registered(routers), start).state
        }
        val informed = mutableSetOf(routers.first().name)
        var newlyInformed: Set<InstanceName> = informed.toSet()
        var round = 0
        while (newlyInformed.isNotEmpty()) {
            round += 1
            val at = start + options.updateDelay.multipliedBy(round.toLong())
            newlyInformed = newlyInformed.flatMap { name ->
                val pending = protocol.step(
                    states.getValue(name),
                    GossipEvent.UpdateLearned(toAll = false),
                    start,
                ).state
                val own = PeerStatus(name, south, StatusStamp(1, at.toEpochMilli()))
                val sends = protocol.step(pending, GossipEvent.Tick(own), at).actions
                    .filterIsInstance<GossipAction.Send>()
                sends.map { it.to.name }
            }.toSet() - informed
            informed += newlyInformed
        }
        expectThat(informed.size).isGreaterThanOrEqualTo(LARGE - 1)
        expectThat(round).isLessThanOrEqualTo(MAX_ROUNDS)
    }

    @Test
    fun `the interval grows with the fleet so that a router's traffic does not`() {
        val small = options.interval(8).toMillis().toDouble() / 8
        val large = options.interval(399).toMillis().toDouble() / 399
        expectThat(large).isEqualTo(options.intervalPerPeer.toMillis().toDouble())
        expectThat(small >= large).isEqualTo(true)
    }

    private companion object {
        const val LARGE = 87

        /** Two rounds reach at most 8 + 64 routers; duplicates and the last routers take a few more. */
        const val MAX_ROUNDS = 6
    }

    @Test
    fun `reports of prompt parts are ignored in a message that may have waited in a buffer`() {
        val reports = listOf(PartReport(7))
        val status = statusOf(5, StatusStamp(11, start.toEpochMilli())).copy(partReports = reports)
        val merge = listOf(GossipAction.MergePartReports(other.name, reports))
        expectThat(received(known, status, start.plusSeconds(1)).actions).isEqualTo(merge)
        expectThat(received(known, status, start.plusSeconds(4)).actions).isEmpty()
        expectThat(received(known, status.copy(echo = null), start.plusSeconds(1)).actions).isEmpty()
    }
}
