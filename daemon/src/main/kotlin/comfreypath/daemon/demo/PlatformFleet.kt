package comfreypath.daemon.demo

import comfreypath.coordination.invariant.InvariantViolation
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Endpoint
import comfreypath.platform.PlatformCallerDialect
import comfreypath.platform.PlatformEndpointDialect
import comfreypath.platform.PlatformStore
import comfreypath.router.Router
import comfreypath.router.RouterOptions
import comfreypath.router.WireFormats
import comfreypath.router.request.EndpointDialect
import comfreypath.standins.ObjectStoreStandIn
import comfreypath.standins.PlatformServerStandIn
import comfreypath.transport.Address
import comfreypath.transport.IncomingRequest
import comfreypath.transport.dispatcher
import comfreypath.transport.eventLoops
import io.netty.channel.EventLoop
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.util.concurrent.ConcurrentLinkedQueue

private const val READY_POLL_INTERVAL_MILLISECONDS = 20L
private const val MAX_READY_POLLS = 500

/**
 * A fleet in one process, on loopback, that speaks the protocol of the users' platform: an object store, servers and
 * routers.
 *
 * @param senderOf identifies the router that sent a request to a server, for what servers count by sender
 */
class PlatformFleet(
    private val routerCount: Int = 1,
    private val engineCount: Int = 2,
    private val plainCount: Int = 2,
    private val customizeRouter: (RouterOptions) -> RouterOptions = { it },
    private val endpointDialect: EndpointDialect = PlatformEndpointDialect(),
    private val senderOf: (IncomingRequest) -> String = { "" },
) {
    private val loops = eventLoops("platform-fleet", THREAD_COUNT)

    /** A running router, its event loop and its options. */
    class RunningRouter(val router: Router, val loop: EventLoop, val options: RouterOptions)

    /** A running server, its event loop and its endpoint record. */
    class RunningServer(val server: PlatformServerStandIn, val loop: EventLoop, val endpoint: Endpoint)

    /** The event loop of the callers. */
    val callerLoop: EventLoop = eventLoops("platform-callers", 1).next()

    /** The event loop of the object store. */
    val storeLoop: EventLoop = loops.next()

    /** The object store. */
    val store = ObjectStoreStandIn(storeLoop)

    /** The running routers. */
    val routers = mutableListOf<RunningRouter>()

    /** The model engines. */
    val engines = mutableListOf<RunningServer>()

    /** The plain servers. */
    val plainServers = mutableListOf<RunningServer>()

    /** The violations of invariants that the routers reported. */
    val violations = ConcurrentLinkedQueue<InvariantViolation>()

    /** The address of the object store. */
    lateinit var storeAddress: Address
        private set

    /** Writes to the object store as operators and servers do. */
    val storeAdmin: StoreAdmin by lazy { StoreAdmin(callerLoop, storeAddress) }

    /** Starts everything and waits until all routers are ready. */
    suspend fun start() {
        storeAddress = store.start(freeAddress())
        repeat(engineCount) { engines += startServer("engine-${it + 1}", PlatformLayout.MODEL_SERVICE, it) }
        repeat(plainCount) { plainServers += startServer("plain-${it + 1}", PlatformLayout.PLAIN_SERVICE, it) }
        storeAdmin.createConfiguration(PlatformLayout.configuration())
        (engines + plainServers).forEach { storeAdmin.register(it.endpoint) }
        repeat(routerCount) { startRouter(it) }
        routers.forEach { awaitReady(it) }
    }

    /** Waits until a router is ready: it has a configuration and knows the servers. */
    suspend fun awaitReady(running: RunningRouter) {
        var polls = 0
        while (!withContext(running.loop.dispatcher()) { running.router.ready }) {
            polls += 1
            check(polls < MAX_READY_POLLS) { "${running.options.name} did not become ready" }
            delay(READY_POLL_INTERVAL_MILLISECONDS)
        }
    }

    private suspend fun startServer(name: String, service: String, number: Int): RunningServer {
        val loop = loops.next()
        val server = PlatformServerStandIn(loop, name, senderOf = senderOf)
        val address = withContext(loop.dispatcher()) { server.start(freeAddress()) }
        val endpoint = PlatformLayout.endpoint(name, service, number, address)
        return RunningServer(server, loop, endpoint)
    }

    /** Starts a model engine of [version] and registers it. */
    suspend fun addEngine(version: VersionName): RunningServer {
        val number = engines.size
        val started = startServer("engine-${number + 1}", PlatformLayout.MODEL_SERVICE, number)
        val running = RunningServer(started.server, started.loop, started.endpoint.copy(version = version))
        engines += running
        storeAdmin.register(running.endpoint)
        return running
    }

    /** Starts a plain server and registers it. */
    suspend fun addPlainServer(): RunningServer {
        val number = plainServers.size
        val running = startServer("plain-${number + 1}", PlatformLayout.PLAIN_SERVICE, number)
        plainServers += running
        storeAdmin.register(running.endpoint)
        return running
    }

    private suspend fun startRouter(number: Int) {
        val options = customizeRouter(
            RouterOptions(
                name = InstanceName("router-${number + 1}"),
                dataCentre = PlatformLayout.dataCentre(number),
                callerAddress = freeAddress(),
                readinessAddress = freeAddress(),
                peerAddress = freeAddress(),
                metricsAddress = freeAddress(),
                objectStore = storeAddress,
            ),
        )
        launch(options)
    }

    /** Starts a router with the given options. */
    suspend fun launch(options: RouterOptions): RunningRouter {
        val loop = loops.next()
        val formats = WireFormats(PlatformCallerDialect(), endpointDialect)
        val router = Router(options, loop, formats, ::PlatformStore) { violations += it }
        withContext(loop.dispatcher()) { router.start() }
        return RunningRouter(router, loop, options).also { routers += it }
    }

    /** Stops a router gracefully. */
    suspend fun stopRouter(running: RunningRouter) {
        routers -= running
        withContext(running.loop.dispatcher()) { running.router.stop() }
    }

    /** Stops everything immediately; the routers do not finish their requests. */
    suspend fun stop() {
        routers.forEach { running -> withContext(running.loop.dispatcher()) { running.router.kill() } }
        (engines + plainServers).forEach { running -> withContext(running.loop.dispatcher()) { running.server.stop() } }
        store.stop()
        loops.shutdownGracefully()
        callerLoop.parent().shutdownGracefully()
    }

    companion object {
        private const val THREAD_COUNT = 3

        /** The host of all routes. */
        const val HOST = PlatformLayout.HOST

        /** The key of the first team. */
        const val KEY = PlatformLayout.KEY
    }
}
