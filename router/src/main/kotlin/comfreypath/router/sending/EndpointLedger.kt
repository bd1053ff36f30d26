package comfreypath.router.sending

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.placement.hashOf

/** What this router has at each endpoint now. */
class EndpointLedger {
    private val entries = HashMap<EndpointName, EndpointEntry>()

    /** The entry of the endpoint called [name], created on first use. */
    fun entry(name: EndpointName): EndpointEntry = entries.getOrPut(name) { EndpointEntry(hashOf(name.text)) }

    /** Forgets the endpoints that are not in [registered] and have no request of this router. */
    fun retain(registered: (EndpointName) -> Boolean) {
        entries.entries.removeIf { (name, entry) -> entry.inFlight == 0 && !registered(name) }
    }

    /** The endpoints with requests of this router, and how many. */
    fun inFlight(): Map<EndpointName, Int> = entries.filterValues { it.inFlight > 0 }.mapValues { it.value.inFlight }
}

/**
 * What this router has at one endpoint.
 *
 * @property hash of the endpoint's name
 */
class EndpointEntry(val hash: Long) {
    /** The requests of this router that the endpoint has. */
    var inFlight: Int = 0
}
