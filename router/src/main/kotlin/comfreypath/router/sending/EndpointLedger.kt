package comfreypath.router.sending

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.placement.hashOf
import java.time.Duration
import java.time.InstantSource

private val SETTLING_TIME: Duration = Duration.ofSeconds(10)

/** What this router has at each endpoint now. */
class EndpointLedger(private val clock: InstantSource) {
    private val entries = HashMap<EndpointName, EndpointEntry>()

    /** The entry of the endpoint called [name], created on first use. */
    fun entry(name: EndpointName): EndpointEntry = entries.getOrPut(name) { EndpointEntry(hashOf(name.text), clock) }

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
class EndpointEntry(val hash: Long, private val clock: InstantSource) {
    private val knownSince = clock.instant()

    /** True once the endpoint has been known for long enough to hold the prompts that belong to it. */
    val settled: Boolean get() = Duration.between(knownSince, clock.instant()) > SETTLING_TIME

    /** The requests of this router that the endpoint has. */
    var inFlight: Int = 0
}
