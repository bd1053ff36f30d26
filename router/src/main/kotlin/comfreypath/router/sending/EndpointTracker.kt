package comfreypath.router.sending

import comfreypath.coordination.endpointload.ToldLoad
import comfreypath.coordination.fleet.InFlight
import comfreypath.coordination.health.HealthEvidence
import comfreypath.coordination.health.HealthState
import comfreypath.coordination.health.OutlierDetector
import comfreypath.coordination.limits.KnownRouters
import comfreypath.coordination.limits.TokenBucket
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.RouterContext
import java.time.Duration
import java.time.Instant

private const val CACHE_SETTLING_SECONDS = 10L

/** The longest time for which recent attempts are counted. */
private const val ATTEMPT_WINDOW_SECONDS = 5L

/**
 * Tracks this router's requests at each endpoint, and the endpoint's observed health.
 *
 * @param routers returns the routers that share the request rates which endpoints take
 */
class EndpointTracker(
    private val context: RouterContext,
    routers: () -> KnownRouters = {
        KnownRouters(context.options.name, live = emptySet(), registered = emptySet(), settled = true)
    },
) {
    private val entries = HashMap<EndpointName, EndpointEntry>()
    private val outlierDetector = OutlierDetector()

    /** What endpoints have announced in their responses. */
    val announcements = AnnouncementTracker(context)

    /** The request rates that endpoints have named in their responses. */
    val limits = EndpointLimitTracker(context, routers)

    /** What endpoints tell of their load and of how long work takes there. */
    val told = EndpointLoadTracker(context)

    /** The entry of the endpoint called [name], created on first use. */
    fun entry(name: EndpointName): EndpointEntry =
        entries.getOrPut(name) { EndpointEntry(hashOf(name.text), context.now()) }

    /** Leaves out [endpoints] that return from a pause and have this router's share; [peers] have the rest. */
    fun withRoom(endpoints: List<Endpoint>, peers: Collection<InstanceName>): List<Endpoint> =
        announcements.withRoom(endpoints, peers) { entry(it.name).inFlight }

    /** Applies the evidence of an attempt to the endpoint's health, and logs ejections and recoveries. */
    fun observe(name: EndpointName, evidence: HealthEvidence) {
        val entry = entry(name)
        val now = context.now()
        val before = entry.health
        entry.health = outlierDetector.after(before, evidence, now, entry.patience(now))
        if (entry.health.ejections > before.ejections) {
            context.log.record(
                "endpoint_left_out",
                "endpoint" to name,
                "evidence" to evidence,
                "badShare" to entry.health.failureRate,
                "ejections" to entry.health.ejections,
                "forMs" to entry.health.ejectedUntil?.let { Duration.between(now, it).toMillis() },
            )
        } else if (before.ejections > 0 && entry.health.ejections == 0) {
            context.log.record("endpoint_back", "endpoint" to name, "badShare" to entry.health.failureRate)
        }
    }

    /** Removes the entries of endpoints that are not registered and have no request in flight. */
    fun retain(registered: (EndpointName) -> Boolean) {
        entries.entries.removeIf { (name, entry) -> entry.inFlight == 0 && !registered(name) }
    }

    /** This router's requests in flight by endpoint. */
    fun inFlight() = InFlight(
        entries.values.filter { it.inFlight > 0 }.associate { InFlight.key(it.nameHash) to it.inFlight },
    )
}

/**
 * This router's requests at one endpoint, and the endpoint's observed health.
 *
 * @property nameHash the hash of the endpoint's name
 * @property knownSince when the entry was created
 */
class EndpointEntry(val nameHash: Long, private val knownSince: Instant) {
    /** The number of this router's requests that the endpoint has received or is about to receive. */
    var inFlight: Int = 0

    /** The health derived from this router's attempts. */
    var health = HealthState()

    /** What the endpoint has told of its load and pace; null if it tells no pace. */
    var told: ToldLoad? = null

    /** Limits this router's requests while the endpoint is cold; null if it is not, or if only others may send. */
    var coldBucket: TokenBucket? = null

    /** The begin times of the latest attempts, the oldest first. */
    private val attemptTimes = ArrayDeque<Instant>()

    /** The send times of the requests whose response has not begun, the oldest first. */
    private val pendingSendTimes = ArrayDeque<Instant>()
    private var lastResponseAt = Instant.EPOCH
    private var lastRun: Endpoint? = null
    private var runKnownSince = knownSince

    /** When a part of a response from the endpoint last arrived. */
    var lastHeardAt: Instant = Instant.EPOCH
        private set

    /** When the endpoint last refused a request without its ID; null if it never has. */
    var refusedWithoutIdAt: Instant? = null

    /** Records that a part of a response arrived at [now]. */
    fun recordHeard(now: Instant) {
        lastHeardAt = now
    }

    /** Records that an attempt at the endpoint begins at [now]. */
    fun recordAttempt(now: Instant) {
        attemptTimes.addLast(now)
        while (attemptTimes.first() + ATTEMPT_WINDOW < now) attemptTimes.removeFirst()
    }

    /** Records at [now] that a recent attempt has sent nothing. */
    fun recordWithheld(now: Instant) {
        attemptTimes.removeLastOrNull()
        coldBucket = coldBucket?.release(now)
    }

    /** The number of attempts that have begun after [at], which may not be more than five seconds ago. */
    fun sentSince(at: Instant): Int {
        var count = 0
        while (count < attemptTimes.size && attemptTimes[attemptTimes.size - 1 - count] > at) count += 1
        return count
    }

    /** Records that a request was sent at [now]. */
    fun recordSent(now: Instant) {
        pendingSendTimes.addLast(now)
    }

    /** Records that the response to the request sent at [sentAt] has begun, or that the request was given up. */
    fun recordSettled(sentAt: Instant, responded: Boolean, now: Instant) {
        pendingSendTimes.remove(sentAt)
        if (responded) {
            lastResponseAt = now
        }
    }

    /** True if a response has begun after [at]. */
    fun respondedSince(at: Instant): Boolean = lastResponseAt > at

    /** How many times longer than usual the endpoint may be silent at [now], by the pace that it tells. */
    fun patience(now: Instant): Double = told?.patience(now) ?: 1.0

    /** True if no response has begun since the oldest pending request was sent, more than [limit] ago. */
    fun stalled(now: Instant, limit: Duration): Boolean {
        val oldest = pendingSendTimes.firstOrNull() ?: return false
        return Duration.between(oldest, now) > limit && lastResponseAt < oldest
    }

    /** True once this run of the [endpoint] has been known long enough to have cached the prompts placed on it. */
    fun cacheSettled(endpoint: Endpoint, now: Instant): Boolean {
        val last = lastRun
        if (last == null || !last.isSameRunAs(endpoint)) {
            runKnownSince = if (last == null) knownSince else now
            lastRun = endpoint
        }
        return Duration.between(runKnownSince, now) > CACHE_SETTLING_TIME
    }

    private companion object {
        val CACHE_SETTLING_TIME: Duration = Duration.ofSeconds(CACHE_SETTLING_SECONDS)
        val ATTEMPT_WINDOW: Duration = Duration.ofSeconds(ATTEMPT_WINDOW_SECONDS)
    }
}

private fun Endpoint.isSameRunAs(other: Endpoint) =
    startedAt == other.startedAt && host == other.host && port == other.port
