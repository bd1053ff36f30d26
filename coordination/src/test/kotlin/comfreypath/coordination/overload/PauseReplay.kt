package comfreypath.coordination.overload

import comfreypath.coordination.availability.AvailabilityPolicy
import comfreypath.coordination.fleet.InFlight
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.placement.LoadExchange
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.routing.testEndpoint
import java.util.PriorityQueue
import java.util.Random

/**
 * Servers of which a third pauses at any time, by turns, and their load. Times are in milliseconds.
 *
 * @property routers number of routers
 * @property servers number of servers of the service
 * @property loadFactor the requests that arrive, as a multiple of what all servers complete
 * @property pause how long a server pauses
 * @property ownPause how long a server pauses whose queue is full; 0 if it only refuses
 * @property turns whether servers pause by turns
 * @property callerTimeout how long callers wait for an answer
 */
data class PausePlan(
    val routers: Int = 9,
    val servers: Int = 12,
    val loadFactor: Double = 1.2,
    val pause: Int = 2_000,
    val ownPause: Int = 2_000,
    val turns: Boolean = true,
    val callerTimeout: Int = 300,
    val duration: Int = 14_000,
)

/**
 * Counts of a replay.
 *
 * @property sent requests of callers
 * @property onTime those answered in time
 * @property refused those that routers refused
 * @property refusedByServers requests that servers refused while they paused
 * @property overloads how often the queue of a server was full
 * @property returnLoads the greatest load of a server in each quarter of a second after a pause by turns, mean of all
 */
data class PauseResult(
    val sent: Int,
    val onTime: Int,
    val refused: Int,
    val refusedByServers: Int,
    val overloads: Int,
    val returnLoads: List<Double>,
) {
    /** The share of the requests that were answered in time. */
    val onTimeShare: Double get() = onTime.toDouble() / sent

    /** The share of the requests that routers refused. */
    val refusedShare: Double get() = refused.toDouble() / sent
}

/**
 * Simulates servers that pause by turns and routers that place plain requests among them, in steps of a millisecond.
 *
 * Load pattern: pauses come when load is at its worst. Servers that go on get the load of those that pause, and those
 * that return have no load in any report, so that all routers prefer them at once.
 *
 * @param policy what the routers make of an announced pause; null if an endpoint that pauses stays in the choice and is
 * left alone for a moment after each refusal, as one that is full
 */
internal class PauseReplay(seed: Long, private val plan: PausePlan, policy: AvailabilityPolicy?) {
    private val random = Random(seed)
    private val endpoints = List(plan.servers) { number ->
        testEndpoint(number).copy(name = EndpointName("plain-$seed-$number"), slots = SLOTS, startedAt = 1)
    }
    private val servers = endpoints.map { PausingServer(SLOTS, QUEUE_CAPACITY, plan.ownPause) }
    private val exchange = LoadExchange.of(plan.routers)
    private val routers = List(plan.routers) { PauseRouter(it, plan, endpoints, exchange, policy) }
    private val weights = List(plan.routers) { MIN_WEIGHT + random.nextDouble() }
    private val hashes = endpoints.map { hashOf(it.name.text) }
    private val requests = ArrayList<PausedRequest>()
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.number })
    private val returnLoads = HashMap<Pair<Int, Int>, IntArray>()
    private var eventCount = 0
    private var refused = 0
    private var refusedByServers = 0
    private var onTime = 0

    private class Event(val at: Int, val number: Int, val action: (Int) -> Unit)

    private fun schedule(at: Int, action: (Int) -> Unit) {
        events += Event(at, eventCount++, action)
    }

    /** Runs the simulation. */
    fun run(): PauseResult {
        for (now in 0 until plan.duration) {
            while (events.peek()?.let { it.at <= now } == true) events.poll().action(now)
            exchange.tick(now) { inFlight(it) }
            turn(now)
            repeat(plan.servers) {
                if (random.nextDouble() < plan.loadFactor * SLOTS / MEAN_WORK / GROUP) {
                    repeat(1 + random.nextInt(2 * GROUP - 1)) { arrive(now) }
                }
            }
            servers.indices.forEach { recordLoad(it, now) }
        }
        return PauseResult(
            sent = requests.size,
            onTime = onTime,
            refused = refused,
            refusedByServers = refusedByServers,
            overloads = servers.sumOf { it.overloads },
            returnLoads = List(RETURN_STEPS) { step -> returnLoads.values.map { it[step] }.average() },
        )
    }

    /** Begins the pauses of the next third of the servers. */
    private fun turn(now: Int) {
        val sinceFirst = now - SETTLED
        if (plan.turns && sinceFirst >= 0 && sinceFirst % plan.pause == 0) {
            val group = sinceFirst / plan.pause % GROUPS
            servers.filterIndexed { index, _ -> index % GROUPS == group }.forEach { it.pauseUntil(now + plan.pause) }
        }
    }

    private fun arrive(now: Int) {
        val request = PausedRequest(requests.size, router(), now, now + plan.callerTimeout, random.nextLong())
        requests += request
        send(request, now)
    }

    private fun router(): Int {
        var point = random.nextDouble() * weights.sum()
        return weights.indexOfFirst { weight ->
            point -= weight
            point < 0
        }.coerceAtLeast(0)
    }

    private fun send(request: PausedRequest, now: Int) {
        val router = routers[request.router]
        val chosen = router.select(request, now)
        if (chosen == null) {
            refused++
            return
        }
        router.recordSent(request, chosen, now)
        schedule(now + DELAY) { receive(request, chosen, it) }
    }

    private fun receive(request: PausedRequest, server: Int, now: Int) {
        val pause = servers[server].offer(request.number, now)
        if (pause == null) {
            start(server, now)
        } else {
            refusedByServers++
            schedule(now + DELAY) {
                if (routers[request.router].recordRefused(request, server, pause, it)) send(request, it) else refused++
            }
        }
    }

    private fun start(server: Int, now: Int) = servers[server].start().forEach { number ->
        schedule(now + MIN_WORK + random.nextInt(WORK_SPAN)) { end(requests[number], server, it) }
    }

    private fun end(request: PausedRequest, server: Int, now: Int) {
        servers[server].end()
        start(server, now)
        schedule(now + DELAY) {
            routers[request.router].recordAnswered(server, it)
            if (it <= request.deadline) onTime++
        }
    }

    /** Records the load of [server] if its pause has ended a while ago and the replay lasts until the last step. */
    private fun recordLoad(server: Int, now: Int) {
        val turn = plan.pause * GROUPS
        val sinceReturn = now - SETTLED - plan.pause * (1 + server % GROUPS)
        val step = Math.floorMod(sinceReturn, turn) / RETURN_STEP
        val lastStepAt = now + (RETURN_STEPS - step) * RETURN_STEP
        if (sinceReturn >= 0 && step < RETURN_STEPS && lastStepAt <= plan.duration) {
            val loads = returnLoads.getOrPut(server to sinceReturn / turn) { IntArray(RETURN_STEPS) }
            loads[step] = maxOf(loads[step], servers[server].load)
        }
    }

    private fun inFlight(router: Int) = InFlight(
        routers[router].inFlight.withIndex().filter { it.value > 0 }.associate { (index, count) ->
            InFlight.key(hashes[index]) to count
        }
    )

    private companion object {
        const val SLOTS = 6
        const val QUEUE_CAPACITY = 24
        const val MIN_WORK = 30
        const val WORK_SPAN = 61
        const val MEAN_WORK = 60.0
        const val GROUP = 3
        const val GROUPS = 3
        const val MIN_WEIGHT = 0.5
        const val SETTLED = 1_000
        const val DELAY = 1
        const val RETURN_STEP = 250
        const val RETURN_STEPS = 6
    }
}
