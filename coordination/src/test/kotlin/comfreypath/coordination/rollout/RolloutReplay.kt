package comfreypath.coordination.rollout

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Rollout
import comfreypath.coordination.routing.RolloutState
import comfreypath.coordination.routing.testEndpoint
import kotlinx.collections.immutable.toPersistentMap
import java.time.Duration
import java.time.Instant
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom

private const val STEP_MILLISECONDS = 10L
private const val GOSSIP_MILLISECONDS = 600L
private const val TICK_MILLISECONDS = 100L
private const val PACE_EVENTS = 6
private const val WARM_UP_MILLISECONDS = 10_000L
private const val TAIL_MILLISECONDS = 12_000L
private const val BAD_ANSWERS = 50
private const val ROLLBACK_MILLISECONDS = 5_000L

/** How one response of the target is worse. */
internal enum class Harm { NONE, SLOW, FAILED }

/**
 * The conditions of one replay.
 *
 * @property harm how a response of the target is worse, given the route, the age of the rollout in milliseconds, the
 * requests in flight at the endpoint, and a random number from 0 to 1
 * @property slowness the factor by which slow responses take longer
 * @property gossipLoss the probability that a status message is lost
 * @property storeAway the ages in milliseconds during which no call reaches the store
 * @property answersLost the probability that a write takes effect without an answer
 * @property stopController the age in milliseconds at which the first router to write stops; null for never
 */
internal data class ReplayConditions(
    val harm: (route: Int, ageMilliseconds: Long, inFlight: Int, random: Double) -> Harm = { _, _, _, _ -> Harm.NONE },
    val slowness: Double = 3.0,
    val durationMilliseconds: Long = 15_000,
    val requestsPerSecond: Double = 70.0,
    val routers: Int = 8,
    val gossipLoss: Double = 0.2,
    val storeAway: LongRange = LongRange.EMPTY,
    val answersLost: Double = 0.0,
    val stopController: Long? = null,
    val hotPart: Boolean = false,
)

/**
 * What happened in a replay.
 *
 * @property requests the requests from the order to its deadline
 * @property canaries those of them that went to the target
 * @property lateCanaries the requests to the target sent too late after its 50th bad answer
 * @property recorded each state that the store recorded, with the age of the rollout in milliseconds
 * @property moves the most times that the requests of one chat changed to another version after the ramp began
 */
internal class ReplayReport(
    val requests: Int,
    val canaries: Int,
    val lateCanaries: Int,
    val recorded: List<Pair<RolloutState, Long>>,
    val moves: Int,
) {
    /** The requests that the target may get if it is bad. */
    val allowed: Double get() = RolloutBounds().share * requests + RolloutBounds().slack

    /** The last state that the store recorded. */
    val outcome: RolloutState? get() = recorded.lastOrNull()?.first
}

/** Replays a rollout by several routers that hear of each other only by lossy messages, with simulated endpoints. */
internal class RolloutReplay(private val conditions: ReplayConditions, seed: Int) {
    private val random = Random(seed)
    private val start = Instant.ofEpochSecond(1_000)
    private val orderedAt = start.plusMillis(WARM_UP_MILLISECONDS)
    private val bounds = RolloutBounds()
    private val controller = RolloutController(bounds)
    private val filter = VersionFilter(bounds)
    private val target = VersionName("v2")
    private val order = Rollout(
        ServiceName("s"),
        target,
        Duration.ofMillis(conditions.durationMilliseconds),
        state = null,
        stateTarget = null,
    )
    private val endpoints: List<Endpoint> = (1..12).map { number ->
        testEndpoint(number).copy(version = if (number > 6) target else VersionName("v1"))
    }
    private val store = ReplayStore(order)
    private val routers = (1..conditions.routers).map { ReplayRouter(InstanceName("router-$it")) }
    private val later = PriorityQueue<Later>(compareBy { it.at })
    private val inFlight = HashMap<EndpointName, Int>()
    private var now = start
    private val age: Long get() = Duration.between(orderedAt, now).toMillis()

    private var requests = 0
    private var canaries = 0
    private var badAnswers = 0
    private var fiftiethAt: Instant? = null
    private var lateCanaries = 0
    private val chatVersions = HashMap<Int, VersionName>()
    private val chatMoves = HashMap<Int, Int>()

    private class Later(val at: Instant, val run: () -> Unit)

    private class ReplayRouter(val name: InstanceName) {
        val latencies = LatencyBaselines()
        var progress: RolloutProgress? = null
        var stopped = false
    }

    private inner class ReplayStore(var order: Rollout) {
        var revision = 1L
        val recorded = mutableListOf<Pair<RolloutState, Long>>()

        fun write(router: ReplayRouter, action: RolloutAction.Write) {
            val away = age in conditions.storeAway
            val conflict = action.expectedRevision != revision
            val lost = random.nextDouble() < conditions.answersLost
            if (!away && !conflict) {
                revision += 1
                order = order.copy(state = action.state, stateTarget = action.order.target)
                recorded += action.state to age
            }
            val answer = if (away || conflict || lost) {
                RolloutEvent.WriteNotConfirmed
            } else {
                RolloutEvent.WriteDone(order, revision)
            }
            after(4) { step(router, answer) }
        }

        fun read(router: ReplayRouter) {
            val answer = if (age in conditions.storeAway) {
                RolloutEvent.ReadFailed
            } else {
                RolloutEvent.WriteDone(order, revision)
            }
            after(4) { step(router, answer) }
        }
    }

    private fun after(milliseconds: Long, run: () -> Unit) {
        later += Later(now.plusMillis(milliseconds), run)
    }

    fun run(): ReplayReport {
        val end = WARM_UP_MILLISECONDS + conditions.durationMilliseconds + TAIL_MILLISECONDS
        for (time in 0..end step STEP_MILLISECONDS) {
            now = start.plusMillis(time)
            while (later.peek()?.let { it.at <= now } == true) later.poll().run()
            if (time >= WARM_UP_MILLISECONDS) control(time)
            // Poisson arrivals.
            var waiting = random.asJavaRandom().nextDouble()
            val none = exp(-conditions.requestsPerSecond * STEP_MILLISECONDS / 1_000)
            while (waiting > none) {
                request()
                waiting *= random.nextDouble()
            }
        }
        return ReplayReport(requests, canaries, lateCanaries, store.recorded, chatMoves.values.maxOrNull() ?: 0)
    }

    private fun control(time: Long) {
        conditions.stopController?.takeIf { age >= it }?.let { routers.first().stopped = true }
        val live = routers.filter { !it.stopped }
        live.forEachIndexed { index, router ->
            if (time % TICK_MILLISECONDS == 0L) {
                observe(router)
                step(router, RolloutEvent.Tick(rank = index, targetUsable = true))
            }
            if ((time + index * 70) % GOSSIP_MILLISECONDS < STEP_MILLISECONDS) gossip(router)
        }
    }

    /** Each router sees a change of the store after up to a few ticks. */
    private fun observe(router: ReplayRouter) {
        if (age in conditions.storeAway) return
        val known = router.progress
        if (known == null) {
            router.progress = controller.start(store.order, store.revision, now)
        } else if (random.nextDouble() < 0.5) {
            step(router, RolloutEvent.OrderReceived(store.order, store.revision))
        }
    }

    private fun gossip(from: ReplayRouter) {
        val report = from.progress?.report(now) ?: return
        routers.filter { it !== from && !it.stopped && random.nextDouble() >= conditions.gossipLoss }.forEach { to ->
            after(random.nextLong(1, 30)) {
                to.progress?.let { step(to, RolloutEvent.ReportReceived(from.name, report)) }
            }
        }
    }

    private fun step(router: ReplayRouter, event: RolloutEvent) {
        val next = controller.step(checkNotNull(router.progress), event, now)
        router.progress = next.state
        next.actions.forEach { action ->
            when (action) {
                is RolloutAction.Write -> store.write(router, action)
                RolloutAction.Read -> store.read(router)
                RolloutAction.Announce -> gossip(router)
            }
        }
    }

    /** One request of a random route and chat at a random router; some routers get more than others. */
    private fun request() {
        val router = routers[(random.nextDouble() * random.nextDouble() * routers.size).toInt()]
        if (router.stopped) return
        val route = random.nextInt(3)
        val chat = if (conditions.hotPart && random.nextDouble() < 0.5) 7 else random.nextInt(200)
        val hash = Random(chat).nextDouble()
        val progress = router.progress
        val version = VersionRequest(route, hash, retry = false, routers = routers.size)
        val old = endpoints.filter { it.version != target }
        val allowed = progress?.let { filter.allowed(it, version, endpoints, now) } ?: old
        val endpoint = allowed.minBy { inFlight[it.name] ?: 0 }
        progress?.takeIf { it.open }?.let { step(router, RolloutEvent.Sent(route, endpoint.version)) }
        count(chat, endpoint)
        serve(router, route, endpoint)
    }

    private fun count(chat: Int, endpoint: Endpoint) {
        val canary = endpoint.version == target
        if (age in 0..conditions.durationMilliseconds) {
            requests += 1
            if (canary) canaries += 1
        }
        if (canary && fiftiethAt?.let { now > it.plusMillis(ROLLBACK_MILLISECONDS) } == true) lateCanaries += 1
        if (age > RolloutSchedule(bounds, order.duration).rampAt.toMillis()) {
            if (chatVersions[chat]?.let { it != endpoint.version } == true) chatMoves.merge(chat, 1, Int::plus)
            chatVersions[chat] = endpoint.version
        }
    }

    private fun serve(router: ReplayRouter, route: Int, endpoint: Endpoint) {
        val running = inFlight.merge(endpoint.name, 1, Int::plus) ?: 1
        val isTarget = endpoint.version == target
        val harm = if (isTarget) conditions.harm(route, age, running, random.nextDouble()) else Harm.NONE
        val factor = if (harm == Harm.SLOW) conditions.slowness else 1.0
        val noise = exp(0.3 * random.asJavaRandom().nextGaussian())
        // One in ten prompts is not cached.
        val uncached = if (random.nextDouble() < 0.1) 3.0 else 1.0
        val first = (40 * noise * uncached * factor).toLong()
        val pace = (25 * exp(0.15 * random.asJavaRandom().nextGaussian()) * factor).toLong()
        val events = listOf(3, 45, 60)[route]
        val times = AttemptSample("$route", isTarget, AttemptResult.RESPONDING, hasPrompt = true)
            .copy(firstEvent = Duration.ofMillis(first), pace = Duration.ofMillis(pace))
        val early = events > PACE_EVENTS && harm != Harm.FAILED
        if (early) after(first + PACE_EVENTS * pace) { sample(router, route, times) }
        val duration = if (harm == Harm.FAILED) first else first + events * pace
        after(duration) {
            inFlight.merge(endpoint.name, -1, Int::plus)
            if (harm != Harm.NONE && ++badAnswers == BAD_ANSWERS) fiftiethAt = now
            val untimed = times.copy(firstEvent = null, pace = null)
            val end = when {
                harm == Harm.FAILED -> untimed.copy(result = AttemptResult.FAILED)
                early -> untimed.copy(result = AttemptResult.ANSWERED)
                else -> times.copy(result = AttemptResult.ANSWERED)
            }
            sample(router, route, end)
        }
    }

    private fun sample(router: ReplayRouter, route: Int, sample: AttemptSample) {
        val tallies = router.latencies.classify(sample).toPersistentMap()
        if (!router.stopped && router.progress?.open == true) {
            val evidence = if (sample.target) RouteEvidence(target = tallies) else RouteEvidence(baseline = tallies)
            step(router, RolloutEvent.Sampled(route, evidence))
        }
        if (!sample.target) router.latencies.record(sample)
    }
}
