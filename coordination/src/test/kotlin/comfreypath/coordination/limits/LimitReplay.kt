package comfreypath.coordination.limits

import comfreypath.coordination.availability.Incarnation
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.ServiceName
import java.time.Duration
import java.time.Instant
import kotlin.random.Random

private const val STEP_MILLISECONDS = 10L
private const val VIEW_STEP_MILLISECONDS = 100L
private const val WINDOW_MILLISECONDS = 4_000L
private const val TOLERANCE = 1.5
private const val SLACK = 5

/** The longest times in which a router notices that another one has gone, or has returned. */
private const val NOTICE_LOSS_SECONDS = 4L
private const val NOTICE_RETURN_SECONDS = 2L

/**
 * Replays routers that have far more requests for one endpoint than the rate that it takes.
 *
 * @property routers the number of routers
 * @property rate the requests per second that the endpoint takes
 * @property away the routers that are gone from [GONE_AT] to [BACK_AT]; those that return have lost their state
 * @property idle true if nobody has a request for the endpoint between [IDLE_FROM] and [IDLE_UNTIL]
 */
internal class LimitReplay(
    private val routers: Int,
    private val rate: Double,
    private val seed: Long,
    private val away: Int = 0,
    private val idle: Boolean = false,
    options: EndpointLimitOptions = EndpointLimitOptions(),
) {
    private val noticeLoss = Duration.ofSeconds(NOTICE_LOSS_SECONDS)
    private val noticeReturn = Duration.ofSeconds(NOTICE_RETURN_SECONDS)
    private val random = Random(seed)
    private val start = Instant.ofEpochSecond(1_000_000)
    private val policy = EndpointLimitPolicy(options)
    private val shares = LimitShares(options)
    private val incarnation = Incarnation(EndpointName("engine-$seed"), ServiceName("model"), "10.0.0.1", 80, 1)
    private val names = List(routers) { InstanceName("router-$it") }
    private val gone = names.shuffled(random).take(away).toSet()

    /** When, in milliseconds, each router notices that another one has gone, and that it has returned. */
    private val notices = HashMap<Pair<InstanceName, InstanceName>, Pair<Long, Long>>()
    private val states = names.associateWith { informed(start) }.toMutableMap()

    /** When requests arrived, in milliseconds, in order. */
    val arrivals = mutableListOf<Long>()

    /** The highest number of requests in four seconds that the endpoint tolerates. */
    val bound: Double get() = TOLERANCE * rate * WINDOW_MILLISECONDS / 1_000 + SLACK

    private fun informed(at: Instant): EndpointLimits =
        policy.after(EndpointLimits(), EndpointLimitEvent.RateNamed(incarnation, rate, at), at).first

    /** Runs the replay and returns the most requests in four seconds. */
    fun run(): Int {
        for (millisecond in 0L until END step STEP_MILLISECONDS) {
            if (millisecond == BACK_AT) gone.forEach { states[it] = informed(start.plusMillis(millisecond)) }
            offering(millisecond).forEach { offer(it, millisecond) }
        }
        return arrivals.indices.maxOfOrNull { last ->
            val from = arrivals[last] - WINDOW_MILLISECONDS
            last + 1 - arrivals.indexOfFirst { it > from }
        } ?: 0
    }

    private fun offering(millisecond: Long): List<InstanceName> = when {
        idle && millisecond in IDLE_FROM..IDLE_UNTIL -> emptyList()
        millisecond in GONE_AT until BACK_AT -> names - gone
        else -> names
    }

    private fun offer(router: InstanceName, millisecond: Long) {
        val now = start.plusMillis(millisecond)
        val share = share(router, millisecond)
        val state = policy.withShare(states.getValue(router), incarnation, share, now)
        val sends = policy.waitTime(state, incarnation, share, now).isZero
        if (sends) arrivals += millisecond
        states[router] =
            if (sends) policy.after(state, EndpointLimitEvent.Sent(incarnation, share), now).first else state
    }

    private val shareByRouter = HashMap<InstanceName, Pair<Set<InstanceName>, LimitShare>>()

    /** Computed again only when the router's view changes. */
    private fun share(router: InstanceName, millisecond: Long): LimitShare {
        val current = shareByRouter[router]
        val unseen = current == null || millisecond % VIEW_STEP_MILLISECONDS == 0L
        val missing = if (unseen) missing(router, millisecond) else current?.first.orEmpty()
        return if (current == null || current.first != missing) {
            val returned = router in gone && millisecond >= BACK_AT
            val known = KnownRouters(router, names.toSet() - missing - router, names.toSet(), settled = !returned)
            shares.of(incarnation.name, rate, known).also { shareByRouter[router] = missing to it }
        } else {
            current.second
        }
    }

    private fun missing(router: InstanceName, millisecond: Long): Set<InstanceName> {
        val steady = millisecond < GONE_AT || millisecond > BACK_AT + noticeReturn.toMillis()
        return if (steady) emptySet() else gone.filter { it != router && isMissed(router, it, millisecond) }.toSet()
    }

    private fun isMissed(router: InstanceName, other: InstanceName, millisecond: Long): Boolean {
        val (lost, back) = notices.getOrPut(router to other) {
            val lost = GONE_AT + random.nextLong(noticeLoss.toMillis() + 1)
            lost to BACK_AT + random.nextLong(noticeReturn.toMillis() + 1)
        }
        return millisecond in lost until back
    }

    companion object {
        const val GONE_AT = 20_000L
        const val BACK_AT = 26_000L
        const val IDLE_FROM = 20_000L
        const val IDLE_UNTIL = 40_000L
        const val END = 60_000L
    }
}
