package comfreypath.daemon.demo

import comfreypath.coordination.invariant.InvariantViolation
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.routing.Endpoint
import comfreypath.platform.PlatformCallerDialect
import comfreypath.platform.PlatformEndpointDialect
import comfreypath.platform.PlatformStore
import comfreypath.router.Router
import comfreypath.router.RouterOptions
import comfreypath.router.WireFormats
import comfreypath.standins.ObjectStoreStandIn
import comfreypath.standins.PlatformServerStandIn
import comfreypath.transport.Address
import comfreypath.transport.dispatcher
import comfreypath.transport.eventLoops
import io.netty.channel.EventLoop
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.util.concurrent.ConcurrentLinkedQueue

private const val READY_POLL_MILLISECONDS = 20L
private const val READY_POLLS = 500

/** A fleet within one process on loopback that speaks the users' platform: a store, servers and routers. */
class PlatformFleet(
    private val routerCount: Int = 1,
    private val engineCount: Int = 2,
    private val plainCount: Int = 2,
    private val customizeRouter: (RouterOptions) -> RouterOptions = { it },
) {
    private val loops = eventLoops("platform-fleet", THREADS)

    /** A router that runs, and the loop that it runs on. */
    class RunningRouter(val router: Router, val loop: EventLoop, val options: RouterOptions)

    /** A server that runs, the loop that it runs on, and how it is registered. */
    class RunningServer(val server: PlatformServerStandIn, val loop: EventLoop, val endpoint: Endpoint)

    /** The loop on which callers run. */
    val callerLoop: EventLoop = eventLoops("platform-callers", 1).next()

    /** The loop on which the store runs. */
    val storeLoop: EventLoop = loops.next()

    /** The store. */
    val store = ObjectStoreStandIn(storeLoop)

    /** The routers. */
    val routers = mutableListOf<RunningRouter>()

    /** The model engines. */
    val engines = mutableListOf<RunningServer>()

    /** The plain servers. */
    val plainServers = mutableListOf<RunningServer>()

    /** The violations that routers reported. */
    val violations = ConcurrentLinkedQueue<InvariantViolation>()

    /** Where the store listens. */
    lateinit var storeAddress: Address
        private set

    /** Plays operators and servers towards the store. */
    val storeAdmin: StoreAdmin by lazy { StoreAdmin(callerLoop, storeAddress) }

    /** Starts everything, and waits until each router is ready. */
    suspend fun start() {
        storeAddress = store.start(freeAddress())
        repeat(engineCount) { engines += startServer("engine-${it + 1}", PlatformLayout.MODEL_SERVICE, it) }
        repeat(plainCount) { plainServers += startServer("plain-${it + 1}", PlatformLayout.PLAIN_SERVICE, it) }
        storeAdmin.createConfiguration(PlatformLayout.configuration())
        (engines + plainServers).forEach { storeAdmin.register(it.endpoint) }
        repeat(routerCount) { startRouter(it) }
        routers.forEach { awaitReady(it) }
    }

    /** Waits until a router takes requests and knows all servers. */
    suspend fun awaitReady(running: RunningRouter) {
        var polls = 0
        while (!withContext(running.loop.dispatcher()) { running.router.ready }) {
            polls += 1
            check(polls < READY_POLLS) { "${running.options.name} did not become ready" }
            delay(READY_POLL_MILLISECONDS)
        }
    }

    private suspend fun startServer(name: String, service: String, number: Int): RunningServer {
        val loop = loops.next()
        val server = PlatformServerStandIn(loop, name)
        val address = withContext(loop.dispatcher()) { server.start(freeAddress()) }
        val endpoint = PlatformLayout.endpoint(name, service, number, address)
        return RunningServer(server, loop, endpoint)
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

    /** Starts a router with the given settings. */
    suspend fun launch(options: RouterOptions): RunningRouter {
        val loop = loops.next()
        val formats = WireFormats(PlatformCallerDialect(), PlatformEndpointDialect())
        val router = Router(options, loop, formats, ::PlatformStore) { violations += it }
        withContext(loop.dispatcher()) { router.start() }
        return RunningRouter(router, loop, options).also { routers += it }
    }

    /** Stops a router gracefully. */
    suspend fun stopRouter(running: RunningRouter) {
        routers -= running
        withContext(running.loop.dispatcher()) { running.router.stop() }
    }

    /** Stops everything at once. */
    suspend fun stop() {
        routers.forEach { running -> withContext(running.loop.dispatcher()) { running.router.kill() } }
        (engines + plainServers).forEach { running -> withContext(running.loop.dispatcher()) { running.server.stop() } }
        store.stop()
        loops.shutdownGracefully()
        callerLoop.parent().shutdownGracefully()
    }

    companion object {
        private const val THREADS = 3

        /** The host of every route. */
        const val HOST = PlatformLayout.HOST

        /** A key of the first team. */
        const val KEY = PlatformLayout.KEY
    }
}
