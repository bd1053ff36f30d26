package comfreypath.router.sending

import comfreypath.coordination.fleet.InFlight
import comfreypath.coordination.health.HealthEvidence
import comfreypath.coordination.health.HealthState
import comfreypath.coordination.health.OutlierDetector
import comfreypath.coordination.limits.TokenBucket
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.placement.hashOf
import comfreypath.router.RouterContext
import java.time.Duration
import java.time.Instant

private const val SETTLING_SECONDS = 10L

/** What this router has at each endpoint, and what it has seen of each. */
class EndpointTracker(private val context: RouterContext) {
    private val entries = HashMap<EndpointName, EndpointEntry>()
    private val health = OutlierDetector()

    /** The entry of the endpoint called [name], created on first use. */
    fun entry(name: EndpointName): EndpointEntry =
        entries.getOrPut(name) { EndpointEntry(hashOf(name.text), context.now()) }

    /** Takes in what an attempt has shown of an endpoint. */
    fun observe(name: EndpointName, evidence: HealthEvidence) {
        val entry = entry(name)
        val now = context.now()
        val before = entry.health
        entry.health = health.after(before, evidence, now)
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

    /** Forgets the endpoints that are not registered and have no request of this router. */
    fun retain(registered: (EndpointName) -> Boolean) {
        entries.entries.removeIf { (name, entry) -> entry.inFlight == 0 && !registered(name) }
    }

    /** This router's requests in flight. */
    fun inFlight() = InFlight(
        entries.values.filter { it.inFlight > 0 }.associate { InFlight.key(it.hash) to it.inFlight },
    )
}

/**
 * What this router has at one endpoint.
 *
 * @property hash of the endpoint's name
 * @property knownSince when the router first met it
 */
class EndpointEntry(val hash: Long, private val knownSince: Instant) {
    /** The requests of this router that the endpoint has or is about to get. */
    var inFlight: Int = 0

    /** What the router has seen of it. */
    var health = HealthState()

    /** Hands out requests while the endpoint is cold; null when this router sends it none. */
    var coldBucket: TokenBucket? = null

    /** When each request was sent whose answer has not begun. */
    private val waiting = ArrayDeque<Instant>()
    private var answeredAt = Instant.EPOCH

    /** Notes that a request was sent at [now]. */
    fun recordSent(now: Instant) {
        waiting.addLast(now)
    }

    /** Notes that a request that was sent at [sentAt] got its answer, or is given up. */
    fun recordSettled(sentAt: Instant, answered: Boolean, now: Instant) {
        waiting.remove(sentAt)
        if (answered) {
            answeredAt = now
        }
    }

    /** True when a request has waited for longer than [limit] and nothing was answered since it was sent. */
    fun stalled(now: Instant, limit: Duration): Boolean {
        val oldest = waiting.firstOrNull() ?: return false
        return Duration.between(oldest, now) > limit && answeredAt < oldest
    }

    /** True once the endpoint has been known for long enough to hold the prompts that belong to it. */
    fun cacheSettled(now: Instant): Boolean = Duration.between(knownSince, now) > SETTLING_TIME

    private companion object {
        val SETTLING_TIME: Duration = Duration.ofSeconds(SETTLING_SECONDS)
    }
}
