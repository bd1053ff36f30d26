package comfreypath.daemon

import com.github.michaelbull.result.fold
import comfreypath.daemon.demo.PlatformCaller
import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.router.RouterOptions
import comfreypath.standins.PlatformServerFaults
import comfreypath.standins.PlatformServerStandIn
import comfreypath.standins.SeenRequest
import comfreypath.standins.StoreFaults
import comfreypath.transport.FullResponse
import comfreypath.transport.dispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext

private const val POLL_MILLISECONDS = 20L
private const val POLLS = 400

/** A small fleet on the platform's wire for one test, with callers that use it. */
class PlatformFixture(routers: Int = 1, tune: (RouterOptions) -> RouterOptions = { it }) {
    val fleet = PlatformFleet(routerCount = routers, customizeRouter = tune)
    private val caller = PlatformCaller(fleet.callerLoop)

    /** Starts the fleet, runs the test, stops it, and expects that no invariant was violated. */
    fun run(test: suspend PlatformFixture.() -> Unit) =
        runWithFleet(fleet::start, fleet::stop, fleet.violations) { test() }

    /** Sends a request through a router; null when no whole answer came. */
    suspend fun call(request: PlatformRequest, router: Int = 0): FullResponse? =
        caller.call(fleet.routers[router].options.callerAddress, request).fold({ it }, { null })

    suspend fun setEngineFaults(faults: PlatformServerFaults) = set(fleet.engines, faults)

    suspend fun setPlainServerFaults(faults: PlatformServerFaults) = set(fleet.plainServers, faults)

    suspend fun set(servers: List<PlatformFleet.RunningServer>, faults: PlatformServerFaults) = servers.forEach {
        withContext(it.loop.dispatcher()) { it.server.set(faults) }
    }

    suspend fun setStoreFaults(faults: StoreFaults) =
        withContext(fleet.storeLoop.dispatcher()) { fleet.store.set(faults) }

    /** The times that servers saw the request called [id]. */
    suspend fun requestsSeen(id: String): List<SeenRequest> = (fleet.engines + fleet.plainServers).flatMap { running ->
        withContext(running.loop.dispatcher()) { running.server.seen.filter { it.id == id } }
    }

    /** The whole stream that answers the request called [id]. */
    fun expectedStream(id: String, tokens: String): String = (1..PlatformServerStandIn.eventsFor(tokens))
        .joinToString("") { PlatformServerStandIn.event(id, it).decodeToString() }

    /** Waits until [holds], and fails after some seconds. */
    suspend fun eventually(what: String, holds: suspend () -> Boolean) {
        var polls = 0
        while (!holds()) {
            polls += 1
            check(polls < POLLS) { "$what did not come about" }
            delay(POLL_MILLISECONDS)
        }
    }
}
