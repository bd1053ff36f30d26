package comfreypath.router.request

import comfreypath.coordination.availability.incarnation
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
import comfreypath.coordination.overload.RefusalReason
import comfreypath.coordination.placement.Candidate
import comfreypath.coordination.placement.Placement
import comfreypath.coordination.placement.PrefixShares
import comfreypath.coordination.placement.PromptEndpointCache
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.meanLoad
import comfreypath.coordination.placement.mix
import comfreypath.coordination.placement.unitInterval
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Route
import comfreypath.coordination.verdict.RetryAfterPolicy
import comfreypath.router.RouterContext
import comfreypath.router.sending.EndpointLoads
import comfreypath.router.sending.Trackers
import comfreypath.router.view.ClusterView
import java.time.Duration
import java.time.Instant

private const val STALL_LIMIT_MILLISECONDS = 1_500L
private const val WEIGHT_SALT = 0x776569676874L

/** The endpoints of a version that bears all requests must not exceed their mean by much. */
private const val EVEN_BOUND_FACTOR = 1.0

/**
 * The endpoint selected for an attempt.
 *
 * @property load the requests in flight at the endpoint, from all routers as last reported
 * @property expectedLoad the estimate of the load at the time of the selection
 * @property cacheSource another endpoint, from which to fetch the prompt's cache; null if none is needed or known
 * @property basis the information that the selection is based on
 */
class Selection(
    val endpoint: Endpoint,
    val load: Int,
    val expectedLoad: Double,
    val cacheSource: Endpoint?,
    val basis: SelectionBasis,
)

/** The outcome of selecting an endpoint for an attempt. */
sealed interface SelectionResult {
    /** The attempt goes to an endpoint. */
    class Selected(val selection: Selection) : SelectionResult

    /** No endpoint can take the request. */
    data object NoEndpoint : SelectionResult

    /**
     * Every endpoint of the service has asked for a pause or has announced that it leaves.
     *
     * @property untilFirstReturn the time until the first pause ends; null if all leave
     */
    data class AllOut(val paused: Int, val leaving: Int, val untilFirstReturn: Duration?) : SelectionResult

    /**
     * The endpoints that could take the request have used up the request rate that they take.
     *
     * @property untilNextRequest the time until one of them may get a request of this router
     */
    data class AllLimited(val untilNextRequest: Duration) : SelectionResult

    /** Admission control refused the request because every endpoint is full. */
    class Overloaded(val admission: Admission.Refused) : SelectionResult
}

/**
 * The information that a selection is based on, for the log.
 *
 * @property candidates the number of endpoints to select from
 * @property endpointsAge the time since the list of endpoints was last confirmed, or found equal to a peer's; null
 * before the first list
 * @property loadsAge the mean age of the peers' reports of their loads
 * @property configuration the configuration version in force; null before the first one
 * @property configurationAge the time since that version was last confirmed as the newest one
 */
class SelectionBasis(
    val candidates: Int,
    val endpointsAge: Duration?,
    val loadsAge: Duration,
    val configuration: Long?,
    val configurationAge: Duration?,
)

/** The live peers of this router and their load on endpoints. */
interface LivePeers {
    /** The names of the live peers. */
    val names: Collection<InstanceName>

    /** The mean age of the reports that [inFlight] adds up. */
    val loadsAge: Duration

    /** The number of requests that the peers had in flight at the endpoint whose name has the hash [nameHash]. */
    fun inFlight(nameHash: Long): Int
}

/** Selects the endpoint for each attempt of a request. A selection has no effect until its attempt begins. */
class EndpointSelector(
    private val context: RouterContext,
    private val view: ClusterView,
    private val trackers: Trackers,
    private val peers: LivePeers,
) {
    private val promptEndpoints = PromptEndpointCache()
    private val prefixShares = HashMap<ServiceName, PrefixShares>()
    private val cold = ColdAdmission()
    private val overload = OverloadPolicy()
    private val gate = EndpointGate(context, view, trackers.endpoints.announcements, trackers.endpoints.limits)
    private val loads = EndpointLoads(trackers.endpoints, peers)
    private val stallLimit = Duration.ofMillis(STALL_LIMIT_MILLISECONDS)

    /** True if the endpoint of an earlier selection is registered but gets no new requests, so none can return. */
    val barsReturn: (Selection) -> Boolean = { selection ->
        val registered = view.endpoints.forService(selection.endpoint.service)
        registered.any { it.name == selection.endpoint.name && !gate.admits(it) }
    }

    /**
     * Selects an endpoint for the next attempt, other than those in [excluded].
     *
     * @param held the endpoints to select from if the request has held a slot at them before, so that it needs no
     * admission; null to select from all
     */
    fun select(
        exchange: CallerExchange,
        excluded: Set<EndpointName>,
        held: Set<EndpointName>? = null,
    ): SelectionResult {
        val requestHash = hashOf(exchange.request.id.text)
        val service = exchange.route.serviceFor(requestHash)
        val registered = service?.let { view.endpoints.forService(it) }.orEmpty()
        val others = if (held == null) excluded else registered.mapTo(HashSet()) { it.name } - held
        val eligible = eligible(exchange, registered, others, context.now())
        // A request that has held a slot returns to it.
        val withRoom = if (held == null) trackers.endpoints.withRoom(eligible, peers.names) else eligible
        val candidates = candidates(exchange, withRoom, context.now())
        val allOut = if (candidates.isEmpty()) {
            gate.allOut(registered) ?: gate.allLimited(registered)
        } else {
            null
        }
        val admission = service?.takeIf { held == null }?.let { admission(exchange, it, candidates) }
        return when {
            admission is Admission.Refused -> SelectionResult.Overloaded(admission)
            allOut != null -> allOut
            candidates.isEmpty() && eligible.isNotEmpty() -> SelectionResult.Overloaded(
                returning(exchange, context.now())
            )
            else -> place(exchange, registered, candidates, requestHash)?.let { SelectionResult.Selected(it) }
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
        val timeLeft = Duration.between(now, exchange.deadline)
        val timeToFirstEvent = Duration.between(now, exchange.request.receivedAt + FirstEventTimeout.of(route))
        return overload.admit(
            request = AdmissionRequest(
                team = exchange.team,
                timeLeft = if (route.streaming) minOf(timeLeft, timeToFirstEvent) else timeLeft,
                jitter = exchange.request.jitter,
            ),
            endpoints = candidates.asSequence().map { Occupancy(it.load, it.endpoint.slots) },
            times = trackers.progress.expectedTimes(service, route.name),
            inProgress = trackers.progress.inProgressByTeam(service),
        )
    }

    private fun place(
        exchange: CallerExchange,
        registered: List<Endpoint>,
        candidates: List<Candidate>,
        requestHash: Long,
    ): Selection? {
        val prefixId = exchange.request.sharedPrefixId
        val basis = view.basis(candidates.size, peers.loadsAge, context.now())
        return if (prefixId == null) {
            Placement.byLoad(candidates, context.options.dataCentre, requestHash)
                ?.let { Selection(it.endpoint, it.load, it.estimate.expected, null, basis) }
        } else {
            placeByPrompt(registered, candidates, prefixId, requestHash)
                ?.let {
                    val source = cacheSource(registered, it.endpoint, prefixId)
                    Selection(it.endpoint, it.load, it.estimate.expected, source, basis)
                }
        }
    }

    /** Records that an attempt of [exchange] at the endpoint in [selection] begins. */
    fun recordAttempt(exchange: CallerExchange, selection: Selection) {
        val name = selection.endpoint.name
        val entry = trackers.endpoints.entry(name)
        entry.coldBucket = entry.coldBucket?.acquire(context.now())
        entry.recordAttempt(context.now())
        exchange.request.sharedPrefixId?.let {
            promptEndpoints.record(it, name)
            prefixShares.getOrPut(selection.endpoint.service) { PrefixShares() }.record(it, context.now())
        }
        trackers.rollouts.recordSent(selection.endpoint, exchange.route)
        exchange.offered = true
    }

    private fun eligible(
        exchange: CallerExchange,
        registered: List<Endpoint>,
        excluded: Set<EndpointName>,
        now: Instant,
    ): List<Endpoint> {
        val available = registered.filter { it.name !in excluded && gate.admits(it) }
            .filter { admitsIfCold(it, now) }
        return trackers.rollouts.allowed(available, exchange, retry = excluded.isNotEmpty())
    }

    private fun candidates(exchange: CallerExchange, eligible: List<Endpoint>, now: Instant): List<Candidate> {
        val responsive = eligible.filterNot { trackers.endpoints.entry(it.name).stalled(now, stallLimit) }
            .ifEmpty { eligible }
        val usable = HealthFilter.usable(responsive, now) { trackers.endpoints.entry(it.name).health }
        val holdTime = usable.firstOrNull()
            ?.let { trackers.progress.expectedTimes(it.service, exchange.route.name).holdTime }
        return loads.candidates(usable, holdTime, now)
    }

    /** True if the endpoint of an earlier [selection] is still registered and accepts requests. */
    fun accepts(selection: Selection): Boolean = selection.endpoint.incarnation.let { selected ->
        view.endpoints.forService(selected.service).any { it.incarnation == selected && gate.accepts(it) }
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
            val steady = gate.withSteadyRate(registered, candidates) { mix(key, trackers.endpoints.entry(it).nameHash) }
            val usable = steady.takeIf { some -> some.any { it.load < it.endpoint.slots } } ?: candidates
            Placement.byPrompt(usable, key, loads.mean(registered, candidates))
        }
    }

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

    /** An endpoint that probably has the prompt prefix cached; null if [chosen] probably has it, or if none has. */
    private fun cacheSource(registered: List<Endpoint>, chosen: Endpoint, prefixId: Long): Endpoint? {
        val now = context.now()
        val recent = promptEndpoints.recentEndpoints(prefixId)
        val preferred = registered.filter { trackers.endpoints.entry(it.name).cacheSettled(now) }
            .maxByOrNull { mix(prefixId, trackers.endpoints.entry(it.name).nameHash) }
        val cached = chosen.name in recent || chosen.name == preferred?.name
        return if (cached) {
            null
        } else {
            recent.firstNotNullOfOrNull { name -> registered.firstOrNull { it.name == name } } ?: preferred
        }
    }
}

/** Picks a destination by weight. All attempts of a request get the same one. */
private fun Route.serviceFor(requestHash: Long): ServiceName? {
    val total = destinations.sumOf { it.weight }
    var point = (unitInterval(mix(requestHash, WEIGHT_SALT)) * total).toInt()
    return destinations.firstOrNull {
        point -= it.weight
        point < 0
    }?.service ?: destinations.lastOrNull()?.service
}

/** The refusal while all endpoints return from a pause and have as many requests of this router as they should. */
private fun returning(exchange: CallerExchange, now: Instant): Admission.Refused {
    val timeLeft = Duration.between(now, exchange.deadline)
    return Admission.Refused(
        RefusalReason.RETURNING,
        RetryAfterPolicy.whenAllAreOut(untilFirstReturn = Duration.ZERO, timeLeft, exchange.request.jitter),
    )
}

/** The ID of the longest prefix of the prompt that other requests may share; null if there is none. */
private val CallerRequest.sharedPrefixId: Long? get() = prompt?.parts?.dropLast(1)?.lastOrNull()?.prefixId

private fun ClusterView.basis(candidates: Int, loadsAge: Duration, now: Instant) = SelectionBasis(
    candidates = candidates,
    endpointsAge = endpoints.entries.agreedAt?.let { Duration.between(it, now) },
    loadsAge = loadsAge,
    configuration = configuration.current?.value?.version,
    configurationAge = configuration.age(),
)
