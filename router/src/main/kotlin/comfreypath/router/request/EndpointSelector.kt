package comfreypath.router.request

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.overload.Admission
import comfreypath.coordination.placement.Candidate
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.RouterContext
import comfreypath.router.sending.EndpointLoads
import comfreypath.router.sending.Trackers
import comfreypath.router.view.ClusterView
import java.time.Duration
import java.time.Instant

/**
 * Selects the endpoint for each attempt of a request. A selection has no effect until its attempt begins.
 *
 * In this order: the endpoints that may take the request ([EligibleEndpoints]), whether it is sent to the service at
 * all ([ServiceAdmission]), and which endpoint gets it ([EndpointPlacement]).
 */
class EndpointSelector(
    private val context: RouterContext,
    private val view: ClusterView,
    private val trackers: Trackers,
    private val peers: LivePeers,
) {
    private val gate = EndpointGate(context, view, trackers.endpoints.announcements, trackers.endpoints.limits)
    private val loads = EndpointLoads(trackers.endpoints, peers)
    private val eligibility = EligibleEndpoints(context, view, trackers, peers, gate, loads)
    private val admission = ServiceAdmission(context, trackers.progress, peers)
    private val placement = EndpointPlacement(context, trackers, gate, loads)

    /** True if the endpoint of an earlier selection is registered but gets no new requests, so none can return. */
    val barsReturn: (Selection) -> Boolean = eligibility::barsReturn

    /** True if the endpoint of an earlier [selection] is still registered and accepts requests. */
    fun accepts(selection: Selection): Boolean = eligibility.accepts(selection)

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
        val eligible = eligibility.of(exchange, registered, others)
        // A request that has held a slot returns to it.
        val withRoom = if (held == null) trackers.endpoints.withRoom(eligible, peers.names) else eligible
        val candidates = eligibility.candidates(exchange, withRoom)
        val admitted = service?.takeIf { held == null }?.let { admission.admit(exchange, it, candidates) }
        return when {
            admitted is Admission.Refused -> SelectionResult.Overloaded(admitted)
            candidates.isEmpty() -> withoutCandidates(exchange, registered, eligible)
            else -> place(exchange, registered, candidates, requestHash)
        }
    }

    private fun withoutCandidates(
        exchange: CallerExchange,
        registered: List<Endpoint>,
        eligible: List<Endpoint>,
    ): SelectionResult = gate.allOut(registered) ?: gate.allLimited(registered)
        ?: if (eligible.isEmpty()) {
            SelectionResult.NoEndpoint
        } else {
            SelectionResult.Overloaded(admission.whileReturning(exchange))
        }

    private fun place(
        exchange: CallerExchange,
        registered: List<Endpoint>,
        candidates: List<Candidate>,
        requestHash: Long,
    ): SelectionResult {
        val place = placement.place(exchange, registered, candidates, requestHash)
            ?: return SelectionResult.NoEndpoint
        val selected = place.candidate
        val basis = view.basis(candidates.size, peers.loadsAge, context.now())
        return SelectionResult.Selected(
            Selection(
                endpoint = selected.endpoint,
                load = selected.load,
                expectedLoad = selected.estimate.expected,
                pace = selected.pace.takeIf { selected.tellsPace },
                cacheSource = place.cacheSource,
                basis = basis,
            ),
        )
    }

    /** Records that an attempt of [exchange] at the endpoint in [selection] begins. */
    fun recordAttempt(exchange: CallerExchange, selection: Selection) {
        val entry = trackers.endpoints.entry(selection.endpoint.name)
        entry.coldBucket = entry.coldBucket?.acquire(context.now())
        entry.recordAttempt(context.now())
        trackers.dataCentres.recordAttempt(selection.endpoint)
        placement.recordAttempt(exchange, selection.endpoint)
        trackers.rollouts.recordSent(selection.endpoint, exchange.route)
        exchange.offered = true
    }
}

private fun ClusterView.basis(candidates: Int, loadsAge: Duration, now: Instant) = SelectionBasis(
    candidates = candidates,
    endpointsAge = endpoints.entries.agreedAt?.let { Duration.between(it, now) },
    loadsAge = loadsAge,
    configuration = configuration.current?.value?.version,
    configurationAge = configuration.age(),
)
