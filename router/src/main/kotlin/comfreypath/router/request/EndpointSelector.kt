package comfreypath.router.request

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.placement.Candidate
import comfreypath.coordination.placement.Placement
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import comfreypath.coordination.placement.unitInterval
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Route
import comfreypath.router.sending.EndpointLedger
import comfreypath.router.view.ClusterView

/** Selects the endpoint for each attempt of a request. */
class EndpointSelector(
    private val view: ClusterView,
    private val ledger: EndpointLedger,
    private val dataCentre: DataCentreName,
) {
    /** The endpoint for the next attempt, or null when none can take the request. */
    fun select(exchange: CallerExchange, excluded: Set<EndpointName>): Endpoint? {
        val request = exchange.request
        val identity = hashOf(request.id.text)
        val service = serviceFor(exchange.route, identity) ?: return null
        val candidates = view.endpointsOf(service)
            .filter { eligible(it) && it.name !in excluded }
            .map { endpoint -> ledger.entry(endpoint.name).let { Candidate(endpoint, it.hash, it.inFlight) } }
        val prompt = request.prompt
        val shared = prompt?.parts?.dropLast(1)?.lastOrNull() ?: prompt?.parts?.lastOrNull()
        return if (shared != null) {
            Placement.byPrompt(candidates, shared.identity)?.endpoint
        } else {
            Placement.byLoad(candidates, dataCentre, identity)?.endpoint
        }
    }

    private fun eligible(endpoint: Endpoint): Boolean =
        !endpoint.draining && endpoint.dataCentre.text !in view.evacuations.values

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
