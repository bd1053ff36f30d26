package comfreypath.router.request

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.placement.Candidate
import comfreypath.coordination.placement.Placement
import comfreypath.coordination.placement.PromptMemory
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import comfreypath.coordination.placement.unitInterval
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Route
import comfreypath.router.sending.EndpointLedger
import comfreypath.router.view.ClusterView

/**
 * Where an attempt goes.
 *
 * @property cacheSource another endpoint that probably holds the cache of the prompt, to be fetched from there
 */
class Selection(val endpoint: Endpoint, val cacheSource: Endpoint?)

/**
 * Selects the endpoint for each attempt of a request.
 *
 * @property elsewhere the requests that other routers have at an endpoint
 */
class EndpointSelector(
    private val view: ClusterView,
    private val ledger: EndpointLedger,
    private val dataCentre: DataCentreName,
    private val elsewhere: (EndpointName) -> Int,
) {
    private val memory = PromptMemory()

    /** The endpoint for the next attempt, or null when none can take the request. */
    fun select(exchange: CallerExchange, excluded: Set<EndpointName>): Selection? {
        val request = exchange.request
        val identity = hashOf(request.id.text)
        val service = serviceFor(exchange.route, identity) ?: return null
        val registered = view.endpointsOf(service)
        val candidates = registered
            .filter { eligible(it) && it.name !in excluded }
            .map { endpoint ->
                ledger.entry(endpoint.name).let { Candidate(endpoint, it.hash, it.inFlight + elsewhere(endpoint.name)) }
            }
        val prompt = request.prompt
        val shared = prompt?.parts?.dropLast(1)?.lastOrNull()
        if (shared == null) {
            return Placement.byLoad(candidates, dataCentre, identity)?.let { Selection(it.endpoint, null) }
        }
        val chosen = Placement.byPrompt(candidates, shared.identity)?.endpoint ?: return null
        val source = source(registered, chosen, shared.identity)
        memory.note(shared.identity, chosen.name)
        return Selection(chosen, source)
    }

    /** The endpoint that probably holds the shared part of a prompt while [chosen] does not; null if there is none. */
    private fun source(registered: List<Endpoint>, chosen: Endpoint, part: Long): Endpoint? {
        val holders = memory.holders(part)
        val settled = registered.filter { ledger.entry(it.name).settled }
        val home = settled.maxByOrNull { mix(part, ledger.entry(it.name).hash) }
        if (chosen.name in holders || chosen.name == home?.name) {
            return null
        }
        return holders.firstNotNullOfOrNull { name -> registered.firstOrNull { it.name == name } } ?: home
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
