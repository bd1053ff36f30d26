package comfreypath.router.view

import comfreypath.coordination.availability.Incarnation
import comfreypath.coordination.availability.incarnation
import comfreypath.coordination.facts.StoreVersion
import comfreypath.coordination.fleet.DepartureLog
import comfreypath.coordination.fleet.Departures
import comfreypath.coordination.fleet.InFlight
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.routing.DepartedEndpoints
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.RemovalGrace
import comfreypath.coordination.routing.RemovalPolicy
import comfreypath.router.RouterContext
import java.time.Instant

/** The usable endpoints: registered ones, and ones whose entries expired while the store was unavailable. */
class EndpointView(private val context: RouterContext) {
    private val warmTimes = HashMap<EndpointName, WarmTime>()
    private var grace = RemovalGrace()
    private var known: Map<EndpointName, Endpoint> = emptyMap()
    private var byService: Map<ServiceName, List<Endpoint>> = emptyMap()
    private var departures = DepartureLog()
    private var departed = DepartedEndpoints()
    private var era: Long? = null

    /** When this router read the endpoints in a new era of the store, whose leases are gone; null before. */
    private var eraChangedAt: Instant? = null

    private val outageEndedAt: Instant?
        get() = listOfNotNull(storeOutageEndedAt(), eraChangedAt).maxOrNull()

    /** The registered endpoints, by name. */
    val entries = KindView<Endpoint>(context, "endpoint")

    /** Returns the end of the last outage of the store; null if there was none. */
    var storeOutageEndedAt: () -> Instant? = { null }

    private class WarmTime(val endpoint: Endpoint, val at: Instant)

    init {
        entries.onChange(::entriesChanged)
    }

    private fun entriesChanged() {
        val current = entries.values.values.associateBy { it.name }
        val now = context.now()
        val previousEra = era
        era = StoreVersion(entries.revision).era
        val newEra = previousEra != null && era != previousEra
        if (newEra) eraChangedAt = now
        val previous = grace.noticedAt.keys
        grace = RemovalPolicy.update(grace, known, current, now) { endpoint ->
            departures.heard[InFlight.key(endpoint.name)]?.at ?: entries.behindSince ?: now
        }
        val kept = grace.activeEndpoints(now, outageEndedAt).toSet()
        (kept - previous).forEach {
            context.log.record("endpoint_kept_without_entry", "endpoint" to it.name, "noticedAt" to grace.noticedAt[it])
        }
        followDepartures(current, kept, newEra, now)
        val left = known.values.filter { !it.draining && current[it.name]?.draining != false && it !in kept }
        departures = departures.listed(left.map { InFlight.key(it.name) }, entries.revision, now)
        known = current
        byService = current.values.groupBy { it.service }
        warmTimes.keys.removeIf { it !in current }
        current.values.forEach { endpoint ->
            if (warmTimes[endpoint.name]?.endpoint !== endpoint) {
                warmTimes[endpoint.name] = WarmTime(endpoint, context.now().plusMillis(endpoint.coldMilliseconds))
            }
        }
    }

    private fun followDepartures(
        current: Map<EndpointName, Endpoint>,
        kept: Set<Endpoint>,
        newEra: Boolean,
        now: Instant,
    ) {
        val before = departed
        departed = if (newEra) {
            val heard = known.values.filter { InFlight.key(it.name) in departures.heard }
            before.listedAnew(known, heard, current, now)
        } else {
            before.changed(known, current, kept, now)
        }
        (departed.held.keys - before.held.keys).forEach {
            context.log.record(
                "endpoint_held_as_left",
                "endpoint" to it,
                "revision" to StoreVersion.label(entries.revision)
            )
        }
    }

    /** The endpoints that have left lately, to tell peers; null if there are none. */
    fun departuresToTell(): Departures? = departures.toTell(context.now())

    /** Learns the endpoints of which [peer] says that they have left. */
    fun hear(told: Departures, peer: InstanceName) {
        val before = departures
        departures = before.heard(told, entries.revision, context.now())
        if (departures !== before) {
            known.keys.filter { InFlight.key(it) in departures.heard && InFlight.key(it) !in before.heard }.forEach {
                context.log.record("endpoint_departure_heard", "endpoint" to it, "peer" to peer)
            }
        }
    }

    /**
     * True if a peer has told that [endpoint] has left, and the list does not show it yet, or if it had left before the
     * store came back from a copy that shows it as usable. Endpoints that are kept without an entry are not concerned:
     * this router's list shows that they have none.
     */
    fun hasLeft(
        endpoint: Endpoint
    ): Boolean = departed.holds(endpoint, context.now()) || departures.heard.isNotEmpty() && endpoint.name in known &&
        departures.hasLeft(InFlight.key(endpoint.name), entries.revision, context.now())

    /** True if [endpoint] is still cold at [now], by its last report of the remaining cold time. */
    fun isCold(endpoint: Endpoint, now: Instant): Boolean = warmTimes[endpoint.name]?.let { now < it.at } ?: false

    /** The usable endpoints of [service], including draining ones. */
    fun forService(service: ServiceName): List<Endpoint> {
        val registered = byService[service].orEmpty()
        return if (grace.noticedAt.isEmpty()) {
            registered
        } else {
            registered + keptEndpoints().filter { it.service == service }
        }
    }

    private fun keptEndpoints(): List<Endpoint> = grace.activeEndpoints(context.now(), outageEndedAt)

    /** True if [incarnation] has an entry, or is kept although its entry expired. */
    fun isUsable(incarnation: Incarnation): Boolean = known[incarnation.name]?.incarnation == incarnation ||
        keptEndpoints().any { it.incarnation == incarnation }

    /** True if the endpoint [name] is registered, or is kept although its entry expired. */
    fun isUsable(name: EndpointName): Boolean =
        name in known || keptEndpoints().any { it.name == name }
}
