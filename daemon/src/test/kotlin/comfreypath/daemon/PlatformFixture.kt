package comfreypath.daemon

import com.github.michaelbull.result.fold
import comfreypath.daemon.demo.PlatformCaller
import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformEndpointDialect
import comfreypath.router.RouterOptions
import comfreypath.router.request.EndpointDialect
import comfreypath.standins.PlatformServerFaults
import comfreypath.standins.PlatformServerStandIn
import comfreypath.standins.ReceivedRequest
import comfreypath.standins.StoreFaults
import comfreypath.transport.ClientResponse
import comfreypath.transport.IncomingRequest
import comfreypath.transport.dispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext

private const val POLL_MILLISECONDS = 20L
private const val MAX_POLLS = 400

/** Runs a small fleet with the platform's interface, and sends requests to it. */
class PlatformFixture(
    routers: Int = 1,
    endpointDialect: EndpointDialect = PlatformEndpointDialect(),
    engines: Int = 2,
    plainServers: Int = 2,
    senderOf: (IncomingRequest) -> String = { "" },
    customizeRouter: (RouterOptions) -> RouterOptions = { it },
) {
    val fleet = PlatformFleet(routers, engines, plainServers, customizeRouter, endpointDialect, senderOf)
    private val caller = PlatformCaller(fleet.callerLoop)

    /** Runs [test] between start and stop of the fleet, and expects that no invariant was violated. */
    fun run(test: suspend PlatformFixture.() -> Unit) =
        runWithFleet(fleet::start, fleet::stop, fleet.violations) { test() }

    /** Sends [request] to a router; null if no complete response arrives. */
    suspend fun call(request: PlatformRequest, router: Int = 0): ClientResponse? =
        caller.call(fleet.routers[router].options.callerAddress, request).fold({ it }, { null })

    suspend fun setEngineFaults(faults: PlatformServerFaults) = setFaults(fleet.engines, faults)

    suspend fun setPlainServerFaults(faults: PlatformServerFaults) = setFaults(fleet.plainServers, faults)

    suspend fun setFaults(servers: List<PlatformFleet.RunningServer>, faults: PlatformServerFaults) = servers.forEach {
        withContext(it.loop.dispatcher()) { it.server.setFaults(faults) }
    }

    /** Makes [raw] the only engine, and waits until requests reach it. */
    internal suspend fun useEngine(raw: RawEndpoint) = useServer(raw, fleet.engines) { id ->
        call(PlatformRequest("draft", id, "8,7"))
    }

    /** Makes [raw] the only plain server, and waits until requests reach it. */
    internal suspend fun usePlainServer(raw: RawEndpoint) = useServer(raw, fleet.plainServers) { id ->
        call(PlatformRequest("history", id))
    }

    private suspend fun useServer(
        raw: RawEndpoint,
        servers: List<PlatformFleet.RunningServer>,
        probe: suspend (String) -> Unit,
    ) {
        val replaced = servers.first().endpoint
        servers.drop(1).forEach { fleet.storeAdmin.deregister(it.endpoint) }
        fleet.storeAdmin.updateRegistration(replaced.copy(host = raw.address.host, port = raw.address.port))
        var probes = 0
        eventually("requests at the raw endpoint") {
            probe("probe-${probes++}")
            (servers.drop(1) + servers.first()).none { running ->
                running.server.receivedRequests.any { it.id == "probe-${probes - 1}" }
            }
        }
    }

    suspend fun setStoreFaults(faults: StoreFaults) =
        withContext(fleet.storeLoop.dispatcher()) { fleet.store.setFaults(faults) }

    /** Returns the requests with the ID [id] that any server has received, once for each arrival. */
    suspend fun requestsSeen(id: String): List<ReceivedRequest> =
        (fleet.engines + fleet.plainServers).flatMap { running ->
            withContext(running.loop.dispatcher()) { running.server.receivedRequests.filter { it.id == id } }
        }

    /** Returns the complete response stream for the request [id]. */
    fun expectedStream(id: String, tokens: String): String = (1..PlatformServerStandIn.eventCount(tokens))
        .joinToString("") { PlatformServerStandIn.event(id, it).decodeToString() }

    /** Waits until [condition] is true; fails after [MAX_POLLS] polls, with [what] in the message. */
    suspend fun eventually(what: String, condition: suspend () -> Boolean) {
        var polls = 0
        while (!condition()) {
            polls += 1
            check(polls < MAX_POLLS) { "timed out waiting for $what" }
            delay(POLL_MILLISECONDS)
        }
    }
}
