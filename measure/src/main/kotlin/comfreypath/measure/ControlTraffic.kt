package comfreypath.measure

import comfreypath.coordination.fleet.ConfigurationFreshness
import comfreypath.coordination.fleet.FleetView
import comfreypath.coordination.fleet.GossipAction
import comfreypath.coordination.fleet.GossipEvent
import comfreypath.coordination.fleet.GossipOptions
import comfreypath.coordination.fleet.GossipProtocol
import comfreypath.coordination.fleet.GossipState
import comfreypath.coordination.fleet.InFlight
import comfreypath.coordination.fleet.KindDigest
import comfreypath.coordination.fleet.LoadRelay
import comfreypath.coordination.fleet.LoadRelayState
import comfreypath.coordination.fleet.PeerAddress
import comfreypath.coordination.fleet.PeerStatus
import comfreypath.coordination.fleet.StatusStamp
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import comfreypath.measure.fake.Simulation
import kotlinx.serialization.json.Json
import java.time.Duration

private const val MAX_BYTES_PER_SECOND = 8_192.0
private const val IN_FLIGHT_ENTRIES = 25
private const val TICK_MILLISECONDS = 50L
private const val DATA_CENTRE_COUNT = 7
private const val DATAGRAM_HEADER_BYTES = 28
private const val DIGEST_COUNT = 4
private const val PORT = 7_340
private const val HOSTS_PER_SUBNET = 250
private const val CONFIGURATIONS_PER_DAY = 18_000L

/**
 * Runs the gossip of a whole fleet for a number of seconds and counts the bytes that each router sends and receives.
 *
 * Each router has requests in flight at 25 endpoints: at the required scale, 400 routers receive 9,700 requests per
 * second.
 */
internal class ControlTraffic(private val options: MeasureOptions) {
    private val simulation = Simulation(options.seed)
    private val gossipOptions = GossipOptions()
    private val protocol = GossipProtocol(gossipOptions)
    private val relay = LoadRelay()
    private val addresses = (1..options.routers).map { number ->
        val dataCentre = DataCentreName("data-centre-${number % DATA_CENTRE_COUNT + 1}")
        PeerAddress(
            InstanceName("router-$number"),
            "10.0.${number / HOSTS_PER_SUBNET}.${number % HOSTS_PER_SUBNET}",
            PORT,
            dataCentre,
        )
    }
    private val states = addresses.associate { it.name to GossipState(it.name, it.name.hashCode()) }.toMutableMap()
    private val loads = addresses.associate { it.name to LoadRelayState() }.toMutableMap()
    private val bytes = HashMap<InstanceName, Long>()

    fun run(): MeasureReport {
        addresses.forEach { step(it, GossipEvent.Registered(addresses)) }
        addresses.forEach { address ->
            val start = Duration.ofMillis(simulation.random.nextInt(TICK_MILLISECONDS.toInt()).toLong())
            simulation.after(start) {
                simulation.every(Duration.ofMillis(TICK_MILLISECONDS)) {
                    step(address, GossipEvent.Tick(statusMessage(address)))
                    exchangeLoads(address)
                    true
                }
            }
        }
        simulation.runFor(Duration.ofSeconds(options.steps))
        val busiest = bytes.values.max().toDouble() / options.steps
        val notLive = states.values.sumOf { state ->
            state.peers.size - state.livePeers(GossipOptions(), simulation.instant()).size
        }
        return MeasureReport.of(
            name = "control-traffic",
            options = options,
            violations = notLive.toLong(),
            figures = listOf(
                Figure("routers", options.routers.toDouble(), "routers"),
                Figure(
                    "time between two statuses",
                    GossipOptions().interval(options.routers - 1).toMillis().toDouble(),
                    "ms"
                ),
            ),
            targets = listOf(
                Target.atMost("bytes at the busiest router", rounded(busiest), MAX_BYTES_PER_SECOND, "bytes/s"),
            ),
        )
    }

    private fun exchangeLoads(address: PeerAddress) {
        val state = loads.getValue(address.name)
        val known = states.getValue(address.name)
        val now = simulation.instant()
        if (now < state.nextAt || !gossipOptions.relaysLoads(known.peers.size)) {
            return
        }
        val interval = gossipOptions.interval(known.peers.size)
        val fleet = FleetView(address.name, address.dataCentre, known.livePeers(gossipOptions, now), interval, now)
        val status = statusMessage(address)
        val next = relay.tick(state, fleet, status.inFlight, status.stamp)
        loads[address.name] = next.state
        next.actions.forEach { send ->
            count(address, send.to, Json.encodeToString(send.message).length)
            simulation.after(Duration.ofMillis(1)) {
                val before = loads.getValue(send.to.name)
                loads[send.to.name] = relay.received(before, send.message, send.to.dataCentre, simulation.instant())
            }
        }
    }

    private fun count(from: PeerAddress, to: PeerAddress, size: Int) {
        val total = (size + DATAGRAM_HEADER_BYTES).toLong()
        bytes.merge(from.name, total, Long::plus)
        bytes.merge(to.name, total, Long::plus)
    }

    private fun statusMessage(address: PeerAddress) = PeerStatus(
        from = address.name,
        dataCentre = address.dataCentre,
        stamp = StatusStamp(address.name.hashCode(), simulation.instant().toEpochMilli()),
        ready = true,
        configuration = ConfigurationFreshness(version = CONFIGURATIONS_PER_DAY, ageMilliseconds = 1_000),
        digests = (1..DIGEST_COUNT).associate { "kind-$it" to KindDigest(revision = 1_000_000, hash = Int.MAX_VALUE) },
        inFlight = InFlight((1..IN_FLIGHT_ENTRIES).associate { InFlight.key(EndpointName("i-10fd17e05d$it")) to 2 }),
    )

    private fun step(address: PeerAddress, event: GossipEvent) {
        val next = protocol.step(states.getValue(address.name), event, simulation.instant())
        states[address.name] = next.state
        next.actions.filterIsInstance<GossipAction.Send>().forEach { send ->
            val sent = send.status.copy(echo = send.echo)
            count(address, send.to, Json.encodeToString(sent).length)
            simulation.after(Duration.ofMillis(1)) { step(send.to, GossipEvent.StatusReceived(sent, address)) }
        }
    }
}
