package comfreypath.coordination.evidence

import comfreypath.coordination.model.InstanceName
import java.time.Instant
import java.util.Random
import java.util.TreeMap

/**
 * What happens in a [CrashReplay]. Times are in milliseconds.
 *
 * @property deadlyShare share of the first class's requests that have the deadly part
 * @property arrivesFrom when requests with the deadly part begin to arrive
 * @property deadlyFrom when requests with the deadly part begin to crash servers
 * @property deadlyUntil when they stop crashing servers, while such requests still come
 * @property crashes when servers crash for another reason, and which share of them
 * @property cutRouterAt when the first router loses all connections for [CUT_DURATION]; null for never
 * @property restartRouterAt when the first router forgets everything; null for never
 * @property statusLoss probability that a status message is lost
 * @property deafPairs whether routers 0 and 1 never hear each other
 * @property firstEventFactor factor by which responses begin later
 */
data class CrashPlan(
    val deadlyShare: Double = 0.0,
    val arrivesFrom: Int = 4_000,
    val deadlyFrom: Int = 0,
    val deadlyUntil: Int = Int.MAX_VALUE,
    val crashes: Map<Int, Double> = emptyMap(),
    val cutRouterAt: Int? = null,
    val restartRouterAt: Int? = null,
    val statusLoss: Double = 0.0,
    val deafPairs: Boolean = false,
    val firstEventFactor: Int = 1,
    val duration: Int = 26_000,
)

/** Simulates routers that share evidence by delayed messages, and servers that crash. */
class CrashReplay(
    seed: Long,
    private val plan: CrashPlan,
    private val options: PartEvidenceOptions = PartEvidenceOptions(),
) {
    private class Request(val parts: List<Long>, val deadly: Boolean) {
        var attempts = 0
    }

    private class Run(val request: Request, val router: Int, val firstEventAt: Int)

    private class Server(var key: Int) {
        var downUntil = 0
        val waiting = ArrayList<Run>()
    }

    private val random = Random(seed)
    private val evidence = PartEvidence(options)
    private val states = Array(ROUTERS) { PartEvidenceState() }
    private val nextStatusAt = IntArray(ROUTERS) { it * STATUS_INTERVAL / ROUTERS }
    private val servers = List(SERVERS) { Server(it) }
    private val deliveries = TreeMap<Int, MutableList<() -> Unit>>()
    private val crashTimes = ArrayList<Int>()
    private var nextKey = SERVERS
    private var now = 0

    /** When requests with the deadly part were sent to servers, and by which router. */
    val deadlySent = ArrayList<Pair<Int, Int>>()

    /** The number of requests without the deadly part that were refused, and that were sent, at their first attempt. */
    var soundRefused = 0
        private set
    var soundSent = 0
        private set

    /** Requests without the deadly part that were not repeated because of one of their parts. */
    var soundHeld = 0
        private set

    /** Parts other than the deadly one that any router quarantined. */
    val wronglyQuarantined = HashSet<Long>()

    /** When some router first quarantined the deadly part, and when some router last released it; null if never. */
    var quarantinedAt: Int? = null
        private set
    var releasedAt: Int? = null
        private set

    /** Requests with the deadly part sent later than [CONTACT] after the fifth crash, which it caused. */
    val sentAfterFifthCrash: Int
        get() = crashTimes.getOrNull(4)?.let { fifth -> deadlySent.count { (at, _) -> at > fifth + CONTACT } } ?: 0

    /** The number of crashes that the deadly part caused. */
    val deadlyCrashes: Int get() = crashTimes.size

    /** The state of a router. */
    fun state(router: Int): PartEvidenceState = states[router]

    /** Runs the simulation in steps of a millisecond. */
    fun run(): CrashReplay {
        while (now < plan.duration) {
            deliver()
            serve()
            plan.crashes[now]?.let { share ->
                servers.shuffled(random).take((share * SERVERS).toInt()).forEach { crash(it) }
            }
            if (now == plan.cutRouterAt) cutRouter()
            if (now == plan.restartRouterAt) states[0] = PartEvidenceState()
            repeat(ROUTERS) { if (now >= nextStatusAt[it]) sendStatuses(it) }
            arrive()
            now++
        }
        return this
    }

    private fun instant(): Instant = Instant.ofEpochMilli(START + now)

    private fun arrive() {
        if (random.nextDouble() < PER_SECOND / 1_000) {
            val kind = random.nextInt(CLASSES)
            val popular = random.nextDouble() * random.nextDouble()
            val subject = SUBJECT_BASE + kind * SUBJECTS + (SUBJECTS * popular).toLong()
            val deadly = kind == 0 && now >= plan.arrivesFrom && random.nextDouble() < plan.deadlyShare
            val middle = if (deadly) DEADLY else subject
            val router = random.nextInt(ROUTERS)
            if (!(router == 0 && isCut())) {
                send(Request(listOf(CLASS_BASE + kind, middle), deadly), router, excluded = null)
            }
        }
    }

    private fun isCut() = plan.cutRouterAt?.let { now in it until it + CUT_DURATION } ?: false

    private fun send(request: Request, router: Int, excluded: Server?) {
        val server = servers.filter { it.downUntil <= now && it !== excluded }.let { up ->
            if (up.isEmpty()) null else up[random.nextInt(up.size)]
        }
        step(router, PartEvidenceEvent.Tick)
        val candidates = TrialCandidates(name(router), (0 until ROUTERS).filter { it != router }.map(::name))
        val admission = PartAdmissionPolicy(states[router], candidates, instant(), options)
            .admit(request.parts, repeat = request.attempts > 0)
        when {
            admission is PartAdmission.Refused -> refused(request)
            server == null -> Unit
            else -> {
                if (admission is PartAdmission.Trial) step(router, PartEvidenceEvent.TrialStarted(admission.part))
                if (request.deadly) deadlySent += now to router else if (request.attempts == 0) soundSent++
                request.attempts++
                val firstEvent = (MIN_FIRST_EVENT + random.nextInt(MAX_FIRST_EVENT)) * plan.firstEventFactor
                server.waiting += Run(request, router, now + firstEvent)
            }
        }
    }

    private fun refused(request: Request) {
        if (!request.deadly) {
            if (request.attempts == 0) soundRefused++ else soundHeld++
        }
    }

    private fun serve() = servers.forEach { server ->
        server.waiting.filter { it.firstEventAt <= now }.forEach { run ->
            // A crash has ended the others.
            if (run in server.waiting) begin(run, server)
        }
    }

    private fun begin(run: Run, server: Server) {
        if (run.request.deadly && now in plan.deadlyFrom until plan.deadlyUntil) {
            crashTimes += now
            crash(server)
        } else {
            server.waiting -= run
            step(run.router, PartEvidenceEvent.AnswerBegan(run.request.parts))
        }
    }

    private fun crash(server: Server) {
        val crash = Crash(server.key, instant(), seenHere = true)
        server.waiting.groupBy { it.router }.forEach { (router, runs) -> lose(router, runs, crash, server) }
        server.waiting.clear()
        server.downUntil = now + DOWN
        server.key = nextKey++
    }

    /** The first router loses its connections to all servers at once, and takes that for crashes. */
    private fun cutRouter() = servers.forEach { server ->
        val lost = server.waiting.filter { it.router == 0 }
        server.waiting -= lost.toSet()
        lose(0, lost, Crash(server.key, instant(), seenHere = true), server)
    }

    private fun lose(router: Int, runs: List<Run>, crash: Crash, server: Server) {
        val parts = runs.flatMap { it.request.parts }.toSet()
        if (parts.isNotEmpty()) {
            after(CONFIRMATION, router) { step(it, PartEvidenceEvent.EndpointCrashed(crash, parts)) }
        }
        runs.forEach { run ->
            run.request.parts.filter { states[router].parts[it]?.quarantine?.trialAt != null }
                .forEach { step(router, PartEvidenceEvent.TrialEnded(it, sent = true)) }
            if (run.request.attempts < MAX_ATTEMPTS) after(1, router) { send(run.request, it, server) }
        }
    }

    private fun after(delay: Int, router: Int, action: (Int) -> Unit) {
        deliveries.getOrPut(now + delay) { ArrayList() } += { action(router) }
    }

    private fun deliver() {
        deliveries.remove(now)?.forEach { it() }
    }

    private fun step(router: Int, event: PartEvidenceEvent) {
        val next = evidence.step(states[router], event, instant())
        states[router] = next.state
        next.actions.forEach { action ->
            when (action) {
                is PartEvidenceAction.Announce ->
                    nextStatusAt[router] = minOf(nextStatusAt[router], now + UPDATE_DELAY)
                is PartEvidenceAction.Quarantined ->
                    if (action.part == DEADLY) {
                        quarantinedAt = quarantinedAt ?: now
                    } else {
                        wronglyQuarantined += action.part
                    }
                is PartEvidenceAction.Cleared -> if (action.part == DEADLY && action.wasQuarantined) releasedAt = now
                is PartEvidenceAction.Suspected -> Unit
            }
        }
    }

    private fun sendStatuses(router: Int) {
        nextStatusAt[router] = now + STATUS_INTERVAL
        val reports = evidence.reports(states[router], instant())
        val reachable = (0 until ROUTERS).filter { it != router && !(plan.deafPairs && it + router == 1) }
        val cut = isCut()
        reachable.filterNot { cut && (router == 0 || it == 0) || random.nextDouble() < plan.statusLoss }
            .forEach { peer ->
                after(1 + random.nextInt(MAX_DELAY), peer) {
                    step(it, PartEvidenceEvent.ReportsReceived(name(router), reports))
                }
            }
    }

    companion object {
        const val DEADLY = 666L
        val SHARED_PARTS = 1L..3L
        const val CONTACT = 3_000
        const val CUT_DURATION = 3_000
        private const val START = 1_000_000L
        private const val ROUTERS = 8
        private const val SERVERS = 6
        private const val CLASSES = 3
        private const val SUBJECTS = 60
        private const val CLASS_BASE = 1L
        private const val SUBJECT_BASE = 1_000L
        private const val PER_SECOND = 68.0
        private const val MIN_FIRST_EVENT = 40
        private const val MAX_FIRST_EVENT = 260
        private const val DOWN = 3_300
        private const val MAX_ATTEMPTS = 2
        private const val CONFIRMATION = 103
        private const val STATUS_INTERVAL = 600
        private const val UPDATE_DELAY = 30
        private const val MAX_DELAY = 30

        private fun name(router: Int) = InstanceName("router-$router")
    }
}
