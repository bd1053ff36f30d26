package comfreypath.coordination.placement

import comfreypath.coordination.fleet.InFlight
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.routing.testEndpoint
import java.time.Duration
import java.time.Instant
import java.util.PriorityQueue
import java.util.Random
import kotlin.math.ln
import kotlin.math.pow

/**
 * A fleet and its traffic. Times are in milliseconds.
 *
 * @property routers number of routers
 * @property endpoints number of registered endpoints of the service
 * @property closed how many of these get no new requests, as in an evacuated data centre
 * @property perSecond requests per second to each endpoint on average
 * @property prefixes number of prompt prefixes
 * @property hotShare share of the requests that have one prefix, in addition to its share of the others
 * @property relayed false if no relay of loads is heard, so that the status messages alone carry them
 */
data class StaleLoadPlan(
    val routers: Int,
    val endpoints: Int,
    val closed: Int = 0,
    val perSecond: Double = 11.0,
    val prefixes: Int = 300,
    val hotShare: Double = 0.0,
    val duration: Int = 25_000,
    val relayed: Boolean = true,
)

/**
 * Requests in a number of seconds.
 *
 * @property total those that reached an endpoint
 * @property over those of them that found it with more than twice the mean of the service, plus 3, in flight
 */
data class StaleLoadWindow(val from: Int, val over: Int, val total: Int) {
    /** True if the requests that found an overloaded endpoint are too many for five calm seconds. */
    val broken: Boolean get() = over >= MIN_OVER && over * PERCENT > MAX_PERCENT_OVER * total

    private companion object {
        const val MIN_OVER = 20
        const val MAX_PERCENT_OVER = 3
        const val PERCENT = 100
    }
}

/** Simulates routers that place requests by the loads which the others have reported some time ago. */
class StaleLoadReplay(seed: Long, private val plan: StaleLoadPlan) {
    private class Arrival(val at: Int, val over: Boolean)

    private class Run(val router: Int, val endpoint: Int, val endsAt: Int)

    private val random = Random(seed)
    private val exchange = LoadExchange.of(plan.routers, plan.relayed)
    private val endpoints = List(plan.endpoints) { number ->
        testEndpoint(number).copy(name = EndpointName("engine-$seed-$number"), slots = SLOTS)
    }
    private val hashes = endpoints.map { hashOf(it.name.text) }
    private val weights = List(plan.routers) { MIN_WEIGHT + random.nextDouble() }
    private val own = List(plan.routers) { IntArray(plan.endpoints) }
    private val sendTimes = List(plan.routers) { List(plan.endpoints) { ArrayDeque<Int>() } }
    private val shares = List(plan.routers) { PrefixShares() }
    private val held = IntArray(plan.endpoints)
    private val runs = PriorityQueue<Run>(compareBy { it.endsAt })
    private val arrivals = ArrayList<Arrival>()
    private var surge = 1.0

    /** Runs the simulation in steps of a millisecond and returns each five seconds after the start. */
    fun run(): List<StaleLoadWindow> {
        for (now in 0 until plan.duration) {
            while (runs.peek()?.let { it.endsAt <= now } == true) end(runs.poll())
            exchange.tick(now) { inFlight(it) }
            if (now % SURGE_DURATION == 0) surge = MIN_SURGE + SURGE_SPAN * random.nextDouble()
            if (random.nextDouble() < surge * plan.perSecond * plan.endpoints / GROUP / MILLISECONDS) {
                val router = router()
                repeat(1 + random.nextInt(2 * GROUP - 1)) { send(router, now) }
            }
        }
        return (SETTLED..plan.duration - WINDOW step STEP).map(::window)
    }

    private fun window(from: Int): StaleLoadWindow {
        val during = arrivals.filter { it.at in from until from + WINDOW }
        return StaleLoadWindow(from, over = during.count { it.over }, total = during.size)
    }

    private fun router(): Int {
        var point = random.nextDouble() * weights.sum()
        return weights.indexOfFirst { weight ->
            point -= weight
            point < 0
        }.coerceAtLeast(0)
    }

    private fun send(router: Int, now: Int) {
        val hot = random.nextDouble() < plan.hotShare
        val prefix = if (hot) HOT_PREFIX else (plan.prefixes * random.nextDouble().pow(SKEW)).toInt()
        val endpoint = select(router, mix(prefix.toLong(), PREFIX_SALT), now) ?: return
        held[endpoint]++
        own[router][endpoint]++
        arrivals += Arrival(now, over = held[endpoint] > OVER_FACTOR * held.average() + OVER_SLACK)
        val mean = if (random.nextDouble() < SHORT_SHARE) SHORT_DURATION else LONG_DURATION
        val duration = -ln(1 - random.nextDouble()) * mean
        runs += Run(router, endpoint, now + 1 + duration.toInt())
    }

    /** Decides as `EndpointSelector` does for a request with a prompt. */
    private fun select(router: Int, prefix: Long, now: Int): Int? {
        val open = plan.closed until plan.endpoints
        val reports = LoadReports(plan.routers - 1, exchange.age(router, now), HOLD_TIME)
        fun sent(endpoint: Int, ago: Duration) = sendTimes[router][endpoint].count { it > now - ago.toMillis() }
        val window = LoadProjection.window(reports, open.count()) { ago -> open.sumOf { sent(it, ago) } }
        val recent = open.associateWith { sent(it, window) }
        val projection = LoadProjection(reports, window, recent.values.sum(), open.count())
        val registered = endpoints.mapIndexed { index, endpoint ->
            val atPeers = exchange.atPeers(router, InFlight.key(hashes[index]), now)
            val load = ReportedLoad(own[router][index], atPeers, recent[index] ?: 0)
            val reported = load.own + load.atPeers
            val estimate = if (index in open) projection.of(load) else LoadEstimate(reported.toDouble())
            Candidate(endpoint, hashes[index], reported, estimate)
        }
        val copies = shares[router].copies(prefix, open.count())
        val key = Placement.keyOf(prefix, copies, salt = random.nextLong())
        val chosen = Placement.byPrompt(registered.drop(plan.closed), key, registered.meanLoad()) ?: return null
        shares[router].record(prefix, Instant.ofEpochMilli(now.toLong()))
        return registered.indexOf(chosen).also { sendTimes[router][it].addLast(now) }
    }

    private fun end(run: Run) {
        held[run.endpoint]--
        own[run.router][run.endpoint]--
    }

    private fun inFlight(router: Int) = InFlight(
        own[router].withIndex().filter { it.value > 0 }.associate { (index, count) ->
            InFlight.key(hashes[index]) to count
        }
    )

    private companion object {
        const val SLOTS = 64
        const val GROUP = 3
        const val MILLISECONDS = 1_000
        const val SURGE_DURATION = 1_000
        const val MIN_SURGE = 0.7
        const val SURGE_SPAN = 0.6
        const val SHORT_SHARE = 0.47
        const val SHORT_DURATION = 160
        const val LONG_DURATION = 2_080
        val HOLD_TIME: Duration = Duration.ofMillis(1_180)
        const val SKEW = 1.4
        const val MIN_WEIGHT = 0.5
        const val HOT_PREFIX = -1
        const val PREFIX_SALT = 0x70726566L
        const val OVER_FACTOR = 2
        const val OVER_SLACK = 3
        const val SETTLED = 5_000
        const val WINDOW = 5_000
        const val STEP = 1_000
    }
}
