package comfreypath.router.request

import comfreypath.coordination.cold.ColdAdmission
import comfreypath.coordination.health.HealthFilter
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.overload.Admission
import comfreypath.coordination.overload.AdmissionRequest
import comfreypath.coordination.overload.FirstEventTimeout
import comfreypath.coordination.overload.Occupancy
import comfreypath.coordination.overload.OverloadPolicy
import comfreypath.coordination.placement.Candidate
import comfreypath.coordination.placement.Placement
import comfreypath.coordination.placement.PromptEndpointCache
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import comfreypath.coordination.placement.unitInterval
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Route
import comfreypath.router.RouterContext
import comfreypath.router.sending.EndpointLoads
import comfreypath.router.sending.Ledgers
import comfreypath.router.view.ClusterView
import java.time.Duration
import java.time.Instant

private const val STUCK_MILLISECONDS = 1_500L

/**
 * Where an attempt goes.
 *
 * @property load the requests that all routers are known to have there
 * @property cacheSource another endpoint that probably holds the cache of the prompt, to be fetched from there
 * @property basis what the choice rests on
 */
class Selection(val endpoint: Endpoint, val load: Int, val cacheSource: Endpoint?, val basis: SelectionBasis)

/** What a selector decided for an attempt. */
sealed interface SelectionResult {
    /** The attempt goes to an endpoint. */
    class Selected(val selection: Selection) : SelectionResult

    /** No endpoint can take the request. */
    data object NoEndpoint : SelectionResult

    /** The service is full, and the request is refused. */
    class Overloaded(val admission: Admission.Refused) : SelectionResult
}

/**
 * What the choice of an endpoint rests on, for the log.
 *
 * @property candidates the endpoints from which it was chosen
 * @property endpointsAge how long ago the store last confirmed the list of endpoints
 * @property configuration the version in force
 * @property configurationAge how long ago that version was last known to be the newest one
 */
class SelectionBasis(
    val candidates: Int,
    val endpointsAge: Duration?,
    val configuration: Long?,
    val configurationAge: Duration?,
)

/** What a selector needs to know of the other routers. */
interface LivePeers {
    /** The names of those that are live. */
    val names: Collection<InstanceName>

    /** The requests that they have at the endpoint whose name has the hash [nameHash]. */
    fun inFlight(nameHash: Long): Int
}

/** Selects the endpoint for each attempt of a request. */
class EndpointSelector(
    private val context: RouterContext,
    private val view: ClusterView,
    private val ledgers: Ledgers,
    private val others: LivePeers,
) {
    private val memory = PromptEndpointCache()
    private val cold = ColdAdmission()
    private val overload = OverloadPolicy()
    private val loads = EndpointLoads(ledgers.endpoints, others)
    private val stuckLimit = Duration.ofMillis(STUCK_MILLISECONDS)

    /** Chooses the endpoint for the next attempt of a request. */
    fun select(exchange: CallerExchange, excluded: Set<EndpointName>): SelectionResult {
        val identity = hashOf(exchange.request.id.text)
        val service = serviceFor(exchange.route, identity)
        val registered = service?.let { view.endpoints.forService(it) }.orEmpty()
        val candidates = candidates(registered, excluded, context.now())
        val admission = service?.let { admission(exchange, it, candidates) }
        return if (admission is Admission.Refused) {
            SelectionResult.Overloaded(admission)
        } else {
            place(exchange, registered, candidates, identity)?.let { SelectionResult.Selected(it) }
                ?: SelectionResult.NoEndpoint
        }
    }

    private fun admission(
        exchange: CallerExchange,
        service: ServiceName,
        candidates: List<Candidate>,
    ): Admission {
        val now = context.now()
        val route = exchange.route
        val left = Duration.between(now, exchange.deadline)
        val firstEventLeft = Duration.between(now, exchange.request.receivedAt + FirstEventTimeout.of(route))
        return overload.admit(
            request = AdmissionRequest(
                team = exchange.team,
                timeLeft = if (route.streaming) minOf(left, firstEventLeft) else left,
                jitter = exchange.request.jitter,
            ),
            endpoints = candidates.asSequence().map { Occupancy(it.load, it.endpoint.slots) },
            times = ledgers.progress.times(service, route.name),
            inProgress = ledgers.progress.byTeam(service),
        )
    }

    private fun place(
        exchange: CallerExchange,
        registered: List<Endpoint>,
        candidates: List<Candidate>,
        identity: Long,
    ): Selection? {
        val shared = exchange.request.prompt?.parts?.dropLast(1)?.lastOrNull()
        return if (shared == null) {
            Placement.byLoad(candidates, context.options.dataCentre, identity)
                ?.let { selected(it, null, candidates.size) }
        } else {
            Placement.byPrompt(candidates, shared.identity, loads.mean(registered))?.let { chosen ->
                val source = source(registered, chosen.endpoint, shared.identity)
                memory.record(shared.identity, chosen.endpoint.name)
                selected(chosen, source, candidates.size)
            }
        }
    }

    private fun selected(candidate: Candidate, source: Endpoint?, candidates: Int): Selection {
        val entry = ledgers.endpoints.entry(candidate.endpoint.name)
        val now = context.now()
        entry.coldBucket = entry.coldBucket?.acquire(now)
        val basis = SelectionBasis(
            candidates = candidates,
            endpointsAge = view.endpoints.entries.confirmedAt?.let { Duration.between(it, now) },
            configuration = view.configuration.current?.value?.version,
            configurationAge = view.configuration.age(),
        )
        return Selection(candidate.endpoint, candidate.load, source, basis)
    }

    private fun candidates(registered: List<Endpoint>, excluded: Set<EndpointName>, now: Instant): List<Candidate> {
        val eligible = registered.filter { it.name !in excluded && takesWork(it) && admitsWhileCold(it, now) }
        val moving = eligible.filterNot { ledgers.endpoints.entry(it.name).stuck(now, stuckLimit) }.ifEmpty { eligible }
        return HealthFilter.usable(moving, now) { ledgers.endpoints.entry(it.name).health }.map { endpoint ->
            Candidate(endpoint, ledgers.endpoints.entry(endpoint.name).hash, loads.of(endpoint))
        }
    }

    private fun takesWork(endpoint: Endpoint): Boolean =
        !endpoint.draining && endpoint.dataCentre.text !in view.evacuations.values

    /** True unless the endpoint is cold and other routers send to it, or it has had enough for now. */
    private fun admitsWhileCold(endpoint: Endpoint, now: Instant): Boolean {
        val rate = view.configuration.current?.value?.services?.get(endpoint.service)?.coldRequestsPerSecond ?: 0.0
        val entry = ledgers.endpoints.entry(endpoint.name)
        val limited = rate > 0.0 && view.endpoints.isCold(endpoint, now)
        entry.coldBucket = if (limited) {
            val own = cold.ownRate(endpoint.name, rate, context.options.name, others.names)
            cold.bucket(entry.coldBucket, own, now)
        } else {
            null
        }
        return !limited || entry.coldBucket?.let { it.available(now) >= 1.0 } ?: false
    }

    /** The endpoint that probably holds the shared part of a prompt while [chosen] does not; null if there is none. */
    private fun source(registered: List<Endpoint>, chosen: Endpoint, part: Long): Endpoint? {
        val now = context.now()
        val holders = memory.recentEndpoints(part)
        val home = registered.filter { ledgers.endpoints.entry(it.name).settled(now) }
            .maxByOrNull { mix(part, ledgers.endpoints.entry(it.name).hash) }
        val held = chosen.name in holders || chosen.name == home?.name
        return if (held) {
            null
        } else {
            holders.firstNotNullOfOrNull { name -> registered.firstOrNull { it.name == name } } ?: home
        }
    }

    private fun serviceFor(route: Route, identity: Long): ServiceName? {
        val total = route.destinations.sumOf { it.weight }
        var point = (unitInterval(mix(identity, WEIGHT_SALT)) * total).toInt()
        return route.destinations.firstOrNull {
            point -= it.weight
            point < 0
        }?.service ?: route.destinations.lastOrNull()?.service
    }

    private companion object {
        const val WEIGHT_SALT = 0x776569676874L
    }
}
