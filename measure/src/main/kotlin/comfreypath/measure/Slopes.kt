package comfreypath.measure

import com.sun.management.ThreadMXBean
import comfreypath.coordination.fleet.GossipEvent
import comfreypath.coordination.fleet.GossipProtocol
import comfreypath.coordination.fleet.GossipState
import comfreypath.coordination.fleet.PeerAddress
import comfreypath.coordination.fleet.PeerStatus
import comfreypath.coordination.fleet.StatusStamp
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.placement.Candidate
import comfreypath.coordination.placement.Placement
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.routing.Destination
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Route
import comfreypath.coordination.routing.RouteKind
import comfreypath.coordination.routing.RouteTable
import kotlinx.collections.immutable.persistentListOf
import java.lang.management.ManagementFactory
import java.time.Duration
import java.time.Instant

private const val MEASURED_ROUNDS = 20_000
private const val WARM_UP_ROUNDS = 20_000
private const val NANOSECONDS_PER_MICROSECOND = 1_000.0
private const val MAX_DECISION_MICROSECONDS = 20.0
private const val DISTINCT_LOADS = 7
private const val PORT = 7_340

/** Measures how the time and the allocations of decisions grow with the fleet. The figures depend on the machine. */
internal class Slopes(private val options: MeasureOptions) {
    private val now: Instant = Instant.parse("2026-01-01T00:00:00Z")
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

    private data class Cost(val microseconds: Double, val bytes: Double)

    fun run(): MeasureReport {
        val sizes = listOf(SMALL_SIZE, options.endpoints / MEDIUM_SIZE_DIVISOR, options.endpoints)
        val placements = sizes.map { it to placementCost(it) }
        val statuses = listOf(SMALL_SIZE, options.routers).map { it to statusCost(it) }
        val routes = routeCost()
        val figures = placements.flatMap { (size, cost) -> figuresOf("placement among $size endpoints", cost) } +
            statuses.flatMap { (size, cost) -> figuresOf("a status among $size routers", cost) } +
            figuresOf("a route among $ROUTE_COUNT", routes)
        val targets = listOf(
            "placement" to placements.last().second,
            "status" to statuses.last().second,
            "route" to routes,
        ).map { (name, cost) ->
            Target.atMost(name, rounded(cost.microseconds), MAX_DECISION_MICROSECONDS, "microseconds")
        }
        return MeasureReport.of("slopes", options, 0, figures, targets)
    }

    private fun figuresOf(name: String, cost: Cost) = listOf(
        Figure("$name, time", rounded(cost.microseconds), "microseconds"),
        Figure("$name, garbage", rounded(cost.bytes), "bytes"),
    )

    private fun cost(action: (Int) -> Unit): Cost {
        repeat(WARM_UP_ROUNDS, action)
        val allocated = threads.currentThreadAllocatedBytes
        val startedAt = System.nanoTime()
        repeat(MEASURED_ROUNDS, action)
        val nanoseconds = System.nanoTime() - startedAt
        val bytes = threads.currentThreadAllocatedBytes - allocated
        return Cost(nanoseconds / NANOSECONDS_PER_MICROSECOND / MEASURED_ROUNDS, bytes.toDouble() / MEASURED_ROUNDS)
    }

    private fun endpoint(number: Int) = Endpoint(
        name = EndpointName("engine-$number"),
        service = ServiceName("model-1"),
        host = "10.0.0.1",
        port = number,
        dataCentre = dataCentre(number),
        version = VersionName("v1"),
        slots = 16,
        draining = false,
        coldMilliseconds = 0,
        startedAt = null,
    )

    private fun dataCentre(number: Int) = DataCentreName("data-centre-${number % DATA_CENTRE_COUNT + 1}")

    private fun placementCost(endpoints: Int): Cost {
        val candidates = (1..endpoints).map { number ->
            val endpoint = endpoint(number)
            Candidate(endpoint, hashOf(endpoint.name.text), load = number % DISTINCT_LOADS)
        }
        return cost { Placement.byPrompt(candidates, it.toLong()) }
    }

    private fun statusCost(routers: Int): Cost {
        val protocol = GossipProtocol()
        val addresses = (1..routers).map {
            PeerAddress(InstanceName("router-$it"), "10.0.1.1", PORT, dataCentre(it))
        }
        var state = protocol.step(GossipState(addresses.first().name, 1), GossipEvent.Registered(addresses), now).state
        return cost { round ->
            val sender = addresses[1 + round % (routers - 1)]
            val status = PeerStatus(sender.name, sender.dataCentre, StatusStamp(1, round.toLong()))
            state = protocol.step(state, GossipEvent.StatusReceived(status, sender), now).state
        }
    }

    private fun routeCost(): Cost {
        val table = RouteTable((1..ROUTE_COUNT).map { route(it) })
        return cost { table.find("host-${it % HOST_COUNT}.example", "/prefix-${it % ROUTE_COUNT}/rest/of/the/path") }
    }

    private fun route(number: Int) = Route(
        name = "route-$number",
        host = "host-${number % HOST_COUNT}.example",
        pathPrefix = "/prefix-$number/",
        kind = RouteKind.IDEMPOTENT,
        timeout = Duration.ofSeconds(1),
        latencyTarget = Duration.ofSeconds(1),
        gapTarget = null,
        priority = 0,
        destinations = persistentListOf(Destination(ServiceName("model-1"), 1)),
        maxAttempts = 1,
        public = false,
        cacheAffinity = false,
        resumable = false,
    )

    private companion object {
        const val SMALL_SIZE = 12
        const val MEDIUM_SIZE_DIVISOR = 25
        const val DATA_CENTRE_COUNT = 7
        const val ROUTE_COUNT = 2_000
        const val HOST_COUNT = 50
    }
}
