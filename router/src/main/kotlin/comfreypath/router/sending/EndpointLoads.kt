package comfreypath.router.sending

import comfreypath.coordination.routing.Endpoint
import comfreypath.router.request.LivePeers

/** The requests that all routers are known to have at endpoints. */
class EndpointLoads(private val tracker: EndpointTracker, private val others: LivePeers) {
    /** The requests at [endpoint]. */
    fun of(endpoint: Endpoint): Int {
        val entry = tracker.entry(endpoint.name)
        return entry.inFlight + others.inFlight(entry.hash)
    }

    /** The mean over [endpoints]; 0 when there are none. */
    fun mean(endpoints: List<Endpoint>): Double =
        if (endpoints.isEmpty()) 0.0 else endpoints.sumOf { of(it) }.toDouble() / endpoints.size
}
