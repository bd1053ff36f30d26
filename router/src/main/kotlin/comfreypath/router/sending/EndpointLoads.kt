package comfreypath.router.sending

import comfreypath.coordination.routing.Endpoint
import comfreypath.router.request.LivePeers

/** Adds up the requests in flight at endpoints from this router and its live peers. */
class EndpointLoads(private val tracker: EndpointTracker, private val peers: LivePeers) {
    /** The number of requests in flight at [endpoint]. */
    fun of(endpoint: Endpoint): Int {
        val entry = tracker.entry(endpoint.name)
        return entry.inFlight + peers.inFlight(entry.nameHash)
    }

    /** The mean number of requests in flight over [endpoints]; 0 if the list is empty. */
    fun mean(endpoints: List<Endpoint>): Double =
        if (endpoints.isEmpty()) 0.0 else endpoints.sumOf { of(it) }.toDouble() / endpoints.size
}
