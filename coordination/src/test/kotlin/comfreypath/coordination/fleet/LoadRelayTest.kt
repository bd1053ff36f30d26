package comfreypath.coordination.fleet

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import java.time.Duration
import java.time.Instant

/** Replays a large fleet in which each router has one request in flight at the same endpoint. */
class LoadRelayTest {
    private val relay = LoadRelay()
    private val options = LoadRelayOptions()
    private val start = Instant.ofEpochSecond(1_000)
    private val tick = Duration.ofMillis(100)
    private val interval = GossipOptions().interval(LARGE)
    private val routers = (1..LARGE).map { number ->
        PeerAddress(InstanceName("router-$number"), "10.0.0.$number", 7, DataCentreName("dc-${number % DATA_CENTRES}"))
    }
    private val states = routers.associateWith { LoadRelayState() }.toMutableMap()
    private var messages = 0

    /** Runs [ticks] rounds; messages of the routers in [silent] are lost. Returns the time at the end. */
    private fun run(ticks: Int, from: Instant = start, silent: Set<PeerAddress> = emptySet()): Instant {
        var now = from
        repeat(ticks) {
            now += tick
            val sent = routers.flatMap { self ->
                val step = relay.tick(states.getValue(self), fleet(self, now), InFlight(mapOf(KEY to 1)), stamp(now))
                states[self] = step.state
                step.actions.takeIf { self !in silent }.orEmpty()
            }
            messages += sent.size
            sent.forEach { (to, message) ->
                states[to] = relay.received(states.getValue(to), message, to.dataCentre, now)
            }
        }
        return now
    }

    private fun stamp(now: Instant) = StatusStamp(1, now.toEpochMilli())

    private fun fleet(self: PeerAddress, now: Instant) = FleetView(
        self = self.name,
        dataCentre = self.dataCentre,
        peers = routers.filter { it != self }.map { peer ->
            Peer(peer, receivedAt = now, status = PeerStatus(peer.name, peer.dataCentre, StatusStamp(1, 1)))
        },
        statusInterval = interval,
        now = now,
    )

    private fun atPeers(now: Instant) = routers.map { relay.atPeers(states.getValue(it), KEY, now) }

    private fun relayOf(router: PeerAddress) = states.getValue(router).relay

    @Test
    fun `every router knows the load of the fleet after two seconds`() {
        val now = run(ticks = 20)
        expectThat(atPeers(now)).all { isEqualTo(LARGE - 1) }
    }

    @Test
    fun `the messages grow with the fleet, not with its square`() {
        run(ticks = 100)
        val perSecond = messages / Duration.between(start, start + tick.multipliedBy(100)).toSeconds()
        expectThat(perSecond).isLessThan(5L * LARGE)
    }

    @Test
    fun `another router replaces a relay that is silent, and the load is known again`() {
        val before = run(ticks = 20)
        val member = routers.first { relayOf(it) != null }
        val failed = requireNotNull(relayOf(member))
        val later = run(ticks = 40, from = before, silent = setOf(failed))
        expectThat(relayOf(member)).isNotEqualTo(failed)
        // All but the member's own request and that of the router whose reports are lost.
        expectThat(relay.atPeers(states.getValue(member), KEY, later)).isEqualTo(LARGE - 2)
    }

    @Test
    fun `the larger sum counts while two routers act as relay of a data centre`() {
        val now = run(ticks = 20)
        val observer = routers.first { relayOf(it) == null }
        val other = routers.first { it.dataCentre != observer.dataCentre && relayOf(it) != null }
        val lacking = LoadMessage(
            other.name,
            other.dataCentre,
            stamp(now),
            LoadScope.DATA_CENTRE,
            InFlight(mapOf(KEY to 1)),
        )
        states[observer] = relay.received(states.getValue(observer), lacking, observer.dataCentre, now)
        val later = run(ticks = 5, from = now)
        expectThat(relay.atPeers(states.getValue(observer), KEY, later)).isEqualTo(LARGE - 1)
    }

    @Test
    fun `a load that is no longer recent is not known`() {
        val now = run(ticks = 20)
        val later = now + options.maxAge + tick.multipliedBy(6)
        expectThat(relay.atPeers(states.getValue(routers.first()), KEY, later)).isNull()
        expectThat(relay.atPeers(states.getValue(routers.first()), KEY, now)).get { requireNotNull(this) }
            .isGreaterThan(0)
    }

    private companion object {
        const val KEY = 77
        const val LARGE = 95
        const val DATA_CENTRES = 5
    }
}
