package comfreypath.router.request

import comfreypath.coordination.availability.incarnation
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.placement.CacheHolder
import comfreypath.coordination.placement.CacheSources
import comfreypath.coordination.placement.Candidate
import comfreypath.coordination.placement.Placement
import comfreypath.coordination.placement.PrefixShares
import comfreypath.coordination.placement.PromptEndpointCache
import comfreypath.coordination.placement.meanLoad
import comfreypath.coordination.placement.mix
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.RouterContext
import comfreypath.router.sending.EndpointLoads
import comfreypath.router.sending.Trackers
import java.time.Duration

/** The endpoints of a version that bears all requests must not exceed their mean by much. */
private const val EVEN_BOUND_FACTOR = 1.0

/** An endpoint that has answered nothing for so long is not named as the source of a cache. */
private const val SOURCE_STALL_LIMIT_MILLISECONDS = 500L

/**
 * The endpoint that a request is placed at.
 *
 * @property cacheSource another endpoint, from which to fetch the prompt's cache; null if none is needed or known
 */
internal class Place(val candidate: Candidate, val cacheSource: Endpoint?)

/** Which of the candidates gets a request: for a prompt by where its parts are cached, else by load. */
internal class EndpointPlacement(
    private val context: RouterContext,
    private val trackers: Trackers,
    private val gate: EndpointGate,
    private val loads: EndpointLoads,
) {
    private val promptEndpoints = PromptEndpointCache()
    private val prefixShares = HashMap<ServiceName, PrefixShares>()
    private val sourceStallLimit = Duration.ofMillis(SOURCE_STALL_LIMIT_MILLISECONDS)

    /** Places [exchange] at one of the [candidates], which are among the [registered] endpoints; null without any. */
    fun place(
        exchange: CallerExchange,
        registered: List<Endpoint>,
        candidates: List<Candidate>,
        requestHash: Long,
    ): Place? {
        val prefixId = exchange.request.sharedPrefixId
        return if (prefixId == null) {
            Placement.byLoad(candidates, context.options.dataCentre, requestHash)?.let { Place(it, cacheSource = null) }
        } else {
            placeByPrompt(registered, candidates, prefixId, requestHash)
                ?.let { Place(it, cacheSource(registered, it.endpoint, prefixId)) }
        }
    }

    /** Records that an attempt of [exchange] at [endpoint] begins. */
    fun recordAttempt(exchange: CallerExchange, endpoint: Endpoint) {
        exchange.request.sharedPrefixId?.let {
            promptEndpoints.record(it, endpoint.incarnation)
            prefixShares.getOrPut(endpoint.service) { PrefixShares() }.record(it, context.now())
        }
    }

    /** Places a request with a prompt; more evenly while the endpoints of some versions get few requests. */
    private fun placeByPrompt(
        registered: List<Endpoint>,
        candidates: List<Candidate>,
        prefixId: Long,
        requestHash: Long,
    ): Candidate? {
        val service = candidates.firstOrNull()?.endpoint?.service
        val copies = prefixShares[service]?.copies(prefixId, candidates.size) ?: 1
        val key = Placement.keyOf(prefixId, copies, requestHash)
        return if (service != null && trackers.rollouts.isShiftingTraffic(service)) {
            val even = Placement.withinEvenShare(candidates) { trackers.endpoints.entry(it.endpoint.name).inFlight }
            Placement.byPrompt(even, key, candidates.meanLoad(), EVEN_BOUND_FACTOR)
        } else {
            val steady = gate.withSteadyRate(registered, candidates) { rank(key, it) }
            val usable = steady.takeIf { some -> some.any { it.load < it.endpoint.slots } } ?: candidates
            Placement.byPrompt(usable, key, loads.mean(registered, candidates))
        }
    }

    private fun cacheSource(registered: List<Endpoint>, chosen: Endpoint, prefixId: Long): Endpoint? {
        val now = context.now()
        val responsive = registered.mapNotNull { endpoint ->
            trackers.endpoints.entry(endpoint.name)
                .takeIf { !it.health.isEjected(now) && !it.stalled(now, sourceStallLimit) }
                ?.let { CacheHolder(endpoint, it.nameHash, it.cacheSettled(endpoint, now)) }
        }
        return CacheSources.choose(prefixId, chosen, responsive, promptEndpoints.recentEndpoints(prefixId))
    }

    private fun rank(key: Long, name: EndpointName): Long = mix(key, trackers.endpoints.entry(name).nameHash)
}

/** The ID of the longest prefix of the prompt that other requests may share; null if there is none. */
internal val CallerRequest.sharedPrefixId: Long? get() = prompt?.parts?.dropLast(1)?.lastOrNull()?.prefixId
