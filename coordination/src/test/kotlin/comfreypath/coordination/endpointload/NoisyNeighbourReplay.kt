package comfreypath.coordination.endpointload

import comfreypath.coordination.fleet.InFlight
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.placement.Candidate
import comfreypath.coordination.placement.LoadEstimate
import comfreypath.coordination.placement.LoadExchange
import comfreypath.coordination.placement.LoadProjection
import comfreypath.coordination.placement.LoadReports
import comfreypath.coordination.placement.Placement
import comfreypath.coordination.placement.ReportedLoad
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.routing.testEndpoint
import java.time.Duration
import java.time.Instant
import java.util.Random
import kotlin.math.ln

/** How the routers of a replay place requests. */
internal enum class PlacementKind {
    /** By the reports of the routers. */
    REPORTS,

    /** By the true loads, without the paces. */
    LEAST_LOADED,

    /** By the reports of the routers and what endpoints tell. */
    TOLD,

    /** By the true loads and paces. */
    CLAIRVOYANT,
}

/** A fleet and its traffic of short requests; [utilization] is the share of the slots in use at the usual pace. */
internal data class NoisyPlan(
    val routers: Int,
    val endpoints: Int,
    val utilization: Double = 0.5,
    val workMilliseconds: Int = 43,
    val aimMilliseconds: Int = 100,
)

/** Replays endpoints on shared machines: 15 in 100 of the time 2.5 times slower, in spells of 600 ms. */
internal class NoisyNeighbourReplay(seed: Long, private val plan: NoisyPlan, private val kind: PlacementKind) {
    private class Run(val router: Int, val endpoint: Int, val arrivedAt: Int, var work: Double)

    private val random = Random(seed)
    private val exchange = LoadExchange.of(plan.routers)
    private val endpoints = List(plan.endpoints) { testEndpoint(it).copy(name = EndpointName("server-$seed-$it")) }
    private val hashes = endpoints.map { hashOf(it.name.text) }
    private val slow = BooleanArray(plan.endpoints)
    private val runs = List(plan.endpoints) { ArrayList<Run>() }
    private val own = List(plan.routers) { IntArray(plan.endpoints) }
    private val sendTimes = List(plan.routers) { List(plan.endpoints) { ArrayDeque<Int>() } }
    private val paces = List(plan.routers) { Array(plan.endpoints) { EndpointPace() } }
    private val rooms = List(plan.routers) { arrayOfNulls<EndpointRoom>(plan.endpoints) }
    private var ended = 0
    private var onTime = 0

    /** Runs the fleet for [duration] milliseconds and returns the share of the requests that were on time. */
    fun run(duration: Int): Double {
        val perMillisecond = plan.utilization * plan.endpoints * endpoints[0].slots / plan.workMilliseconds
        for (now in 0 until duration) {
            exchange.tick(now, ::inFlight)
            slow.indices.forEach { if (random.nextDouble() < changeRate(slow[it])) slow[it] = !slow[it] }
            repeat(poisson(perMillisecond)) { send(random.nextInt(plan.routers), now) }
            runs.indices.forEach { work(it, now) }
        }
        return onTime.toDouble() / ended
    }

    private fun changeRate(isSlow: Boolean) = (if (isSlow) 1.0 else SLOW_SHARE / (1 - SLOW_SHARE)) / SPELL_MILLISECONDS

    private fun poisson(mean: Double): Int {
        var count = 0
        var time = -ln(1 - random.nextDouble())
        while (time < mean) {
            count++
            time -= ln(1 - random.nextDouble())
        }
        return count
    }

    private fun send(router: Int, now: Int) {
        val place = Placement.byLoad(candidates(router, now), endpoints[0].dataCentre, random.nextLong()) ?: return
        val endpoint = endpoints.indexOf(place.endpoint)
        runs[endpoint] += Run(router, endpoint, now, plan.workMilliseconds.toDouble())
        own[router][endpoint]++
        sendTimes[router][endpoint].addLast(now)
    }

    private fun work(endpoint: Int, now: Int) {
        val queue = runs[endpoint]
        queue.take(endpoints[endpoint].slots).forEach { it.work -= 1 / pace(endpoint) }
        queue.filter { it.work <= 0 }.forEach { run ->
            queue -= run
            respond(run, now)
        }
    }

    private fun respond(run: Run, now: Int) {
        val (router, endpoint) = run.router to run.endpoint
        val waiting = (runs[endpoint].size - SLOTS).coerceAtLeast(0)
        val report = EndpointReport(runs[endpoint].size - waiting, waiting, SLOTS, pace(endpoint))
        own[router][endpoint]--
        rooms[router][endpoint] = EndpointRoom.of(report, own[router][endpoint], instant(now))
        paces[router][endpoint] = PaceEstimator.observed(paces[router][endpoint], pace(endpoint), instant(now))
        ended++
        if (now - run.arrivedAt <= plan.aimMilliseconds) onTime++
    }

    private fun candidates(router: Int, now: Int): List<Candidate> {
        val reports = LoadReports(plan.routers - 1, exchange.age(router, now), holdTime)
        fun sent(endpoint: Int, ago: Duration) = sendTimes[router][endpoint].let { times ->
            while (times.isNotEmpty() && times.first() <= now - MAX_WINDOW) times.removeFirst()
            times.count { it > now - ago.toMillis() }
        }
        val window = LoadProjection.window(reports, endpoints.size) { ago -> endpoints.indices.sumOf { sent(it, ago) } }
        val recent = endpoints.indices.map { sent(it, window) }
        val projection = LoadProjection(reports, window, recent.sum(), endpoints.size)
        return endpoints.indices.map { index ->
            val atPeers = exchange.atPeers(router, InFlight.key(hashes[index]), now)
            candidate(router, index, ReportedLoad(own[router][index], atPeers, recent[index]), projection, now)
        }
    }

    private fun candidate(
        router: Int,
        index: Int,
        load: ReportedLoad,
        projection: LoadProjection,
        now: Int,
    ): Candidate {
        val room = rooms[router][index]?.takeIf { RoomEstimator.isRecent(it, holdTime, instant(now)) }
        val knows = kind == PlacementKind.LEAST_LOADED || kind == PlacementKind.CLAIRVOYANT
        val estimate = when {
            knows -> LoadEstimate(runs[index].size.toDouble())
            kind == PlacementKind.REPORTS || room == null -> projection.of(load)
            else -> RoomEstimator.join(room, load, projection, instant(now))
        }
        val pace = when (kind) {
            PlacementKind.TOLD -> paces[router][index].during(holdTime, instant(now))
            PlacementKind.CLAIRVOYANT -> pace(index)
            else -> 1.0
        }
        val tellsPace = kind == PlacementKind.TOLD || kind == PlacementKind.CLAIRVOYANT
        return Candidate(endpoints[index], hashes[index], estimate.expected.toInt(), estimate, pace, tellsPace)
    }

    private fun pace(endpoint: Int) = if (slow[endpoint]) SLOW_PACE else 1.0

    private fun inFlight(router: Int) = InFlight(
        own[router].withIndex().filter { it.value > 0 }.associate { (index, count) ->
            InFlight.key(hashes[index]) to count
        }
    )

    private fun instant(now: Int): Instant = Instant.ofEpochMilli(now.toLong())

    private val holdTime: Duration get() = Duration.ofMillis(plan.workMilliseconds.toLong())

    private companion object {
        const val SLOW_SHARE = 0.15
        const val SLOW_PACE = 2.5
        const val SPELL_MILLISECONDS = 600.0
        const val SLOTS = 6
        const val MAX_WINDOW = 5_000
    }
}
