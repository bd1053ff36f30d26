package comfreypath.router.request

import comfreypath.coordination.availability.incarnation
import comfreypath.coordination.cold.ColdAdmission
import comfreypath.coordination.health.HealthFilter
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.placement.Candidate
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.RouterContext
import comfreypath.router.sending.EndpointEntry
import comfreypath.router.sending.EndpointLoads
import comfreypath.router.sending.Trackers
import comfreypath.router.view.ClusterView
import java.time.Duration
import java.time.Instant

private const val STALL_LIMIT_MILLISECONDS = 1_500L

/** Which endpoints may take a request, by the store, their own announcements, cold starts, rollouts and health. */
internal class EligibleEndpoints(
    private val context: RouterContext,
    private val view: ClusterView,
    private val trackers: Trackers,
    private val peers: LivePeers,
    private val gate: EndpointGate,
    private val loads: EndpointLoads,
) {
    private val cold = ColdAdmission()
    private val stallLimit = Duration.ofMillis(STALL_LIMIT_MILLISECONDS)

    /** The [registered] endpoints that may get [exchange], other than those in [excluded]. */
    fun of(exchange: CallerExchange, registered: List<Endpoint>, excluded: Set<EndpointName>): List<Endpoint> {
        val now = context.now()
        val available = registered.filter { it.name !in excluded && gate.admits(it) }
            .filter { admitsIfCold(it, now) }
        return trackers.rollouts.allowed(available, exchange, retry = excluded.isNotEmpty())
    }

    /** Those of the [eligible] endpoints that respond soundly, or all of them if none does, with their loads. */
    fun candidates(exchange: CallerExchange, eligible: List<Endpoint>): List<Candidate> {
        val now = context.now()
        val responsive = trackers.dataCentres.usable(eligible)
            .filterNot { trackers.endpoints.entry(it.name).stalledBeyondPace(now) }
            .ifEmpty { eligible }
        val usable = HealthFilter.usable(responsive, now) { trackers.endpoints.entry(it.name).health }
        val holdTime = usable.firstOrNull()
            ?.let { trackers.progress.expectedTimes(it.service, exchange.route.name).holdTime }
        return loads.candidates(usable, holdTime, now)
    }

    private fun EndpointEntry.stalledBeyondPace(now: Instant): Boolean {
        val patience = patience(now)
        val limit = if (patience > 1.0) Duration.ofMillis((stallLimit.toMillis() * patience).toLong()) else stallLimit
        return stalled(now, limit)
    }

    /** True if the endpoint of an earlier [selection] is still registered and accepts requests. */
    fun accepts(selection: Selection): Boolean = selection.endpoint.incarnation.let { selected ->
        view.endpoints.forService(selected.service).any { it.incarnation == selected && gate.accepts(it) }
    }

    /** True if the endpoint of an earlier [selection] is registered but gets no new requests, so none can return. */
    fun barsReturn(selection: Selection): Boolean = view.endpoints.forService(selection.endpoint.service)
        .any { it.name == selection.endpoint.name && !gate.admits(it) }

    /** False if the endpoint is cold and this router may not send to it or has used up its share of the rate. */
    private fun admitsIfCold(endpoint: Endpoint, now: Instant): Boolean {
        val rate = view.configuration.current?.value?.services?.get(endpoint.service)?.coldRequestsPerSecond ?: 0.0
        val entry = trackers.endpoints.entry(endpoint.name)
        val limited = rate > 0.0 && view.endpoints.isCold(endpoint, now)
        entry.coldBucket = if (limited) {
            val ownRate = cold.ownRate(endpoint.name, rate, context.options.name, peers.names)
            cold.bucket(entry.coldBucket, ownRate, now)
        } else {
            null
        }
        return !limited || entry.coldBucket?.let { it.available(now) >= 1.0 } ?: false
    }
}
