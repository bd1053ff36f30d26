package comfreypath.daemon.demo

import comfreypath.coordination.invariant.InvariantViolation
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.TeamName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.CallerLimits
import comfreypath.coordination.routing.Configuration
import comfreypath.coordination.routing.Destination
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.EngineProfile
import comfreypath.coordination.routing.Route
import comfreypath.coordination.routing.RouteKind
import comfreypath.coordination.routing.Service
import comfreypath.coordination.routing.Team
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
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.time.Duration
import java.util.concurrent.ConcurrentLinkedQueue

private const val READY_POLL_MILLISECONDS = 20L
private const val READY_POLLS = 500
private const val SLOTS = 16
private const val CONNECTIONS = 256
private const val CACHE_TOKENS = 800_000L
private const val BYTES_PER_TOKEN = 18_432L
private const val TOKENS_PER_EVENT = 7

/** A fleet within one process on loopback that speaks the users' platform: a store, servers and routers. */
class PlatformFleet(
    private val routerCount: Int = 1,
    private val engineCount: Int = 2,
    private val plainCount: Int = 2,
    private val tune: (RouterOptions) -> RouterOptions = { it },
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

    private val platform by lazy { LocalPlatform(callerLoop, storeAddress) }

    /** Starts everything, and waits until each router is ready. */
    suspend fun start() {
        storeAddress = store.start(freeAddress())
        repeat(engineCount) { engines += startServer("engine-${it + 1}", MODEL_SERVICE, it) }
        repeat(plainCount) { plainServers += startServer("plain-${it + 1}", PLAIN_SERVICE, it) }
        platform.createConfiguration(configuration())
        (engines + plainServers).forEach { platform.register(it.endpoint) }
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
        val endpoint = Endpoint(
            name = EndpointName(name),
            service = ServiceName(service),
            host = address.host,
            port = address.port,
            dataCentre = dataCentre(number),
            version = VersionName("v1"),
            slots = SLOTS,
            draining = false,
            coldMilliseconds = 0,
            startedAt = null,
        )
        return RunningServer(server, loop, endpoint)
    }

    private fun dataCentre(number: Int) = DataCentreName("data-centre-${number % DATA_CENTRES + 1}")

    private suspend fun startRouter(number: Int) {
        val options = tune(
            RouterOptions(
                name = InstanceName("router-${number + 1}"),
                dataCentre = dataCentre(number),
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

    /** Changes the configuration in the store. */
    suspend fun configure(change: (Configuration) -> Configuration) = platform.configure(change)

    /** Takes a data centre out, or brings it back. */
    suspend fun evacuate(dataCentre: DataCentreName, evacuated: Boolean) = platform.evacuate(dataCentre, evacuated)

    /** Lets a server say something else of itself. */
    suspend fun reregister(endpoint: Endpoint) = platform.reregister(endpoint)

    /** Takes a server's entry out of the store. */
    suspend fun deregister(endpoint: Endpoint) = platform.deregister(endpoint)

    /** Stops everything at once. */
    suspend fun stop() {
        routers.forEach { running -> withContext(running.loop.dispatcher()) { running.router.kill() } }
        (engines + plainServers).forEach { running -> withContext(running.loop.dispatcher()) { running.server.stop() } }
        store.stop()
        loops.shutdownGracefully()
        callerLoop.parent().shutdownGracefully()
    }

    /** The first configuration. */
    fun configuration(): Configuration = Configuration(
        version = 1,
        routes = persistentListOf(
            route("draft", RouteKind.STREAMING, MODEL_SERVICE, attempts = 1),
            route("follow", RouteKind.STREAMING, MODEL_SERVICE, attempts = 2).copy(resumable = true),
            route("book", RouteKind.NON_IDEMPOTENT, PLAIN_SERVICE, attempts = 1),
            route("history", RouteKind.IDEMPOTENT, PLAIN_SERVICE, attempts = 2),
            route("open", RouteKind.IDEMPOTENT, PLAIN_SERVICE, attempts = 2).copy(public = true),
        ),
        services = persistentMapOf(
            ServiceName(MODEL_SERVICE) to service(MODEL_SERVICE, ENGINE),
            ServiceName(PLAIN_SERVICE) to service(PLAIN_SERVICE, null),
        ),
        limits = CallerLimits(),
        teams = persistentListOf(
            Team(TeamName("team-1"), persistentListOf(KEY), priority = 1),
            Team(TeamName("team-2"), persistentListOf("key-2"), priority = null),
        ),
    )

    private fun route(name: String, kind: RouteKind, service: String, attempts: Int) = Route(
        name = name,
        host = HOST,
        pathPrefix = "/$name/",
        kind = kind,
        timeout = Duration.ofSeconds(4),
        latencyTarget = Duration.ofMillis(250),
        gapTarget = if (kind == RouteKind.STREAMING) Duration.ofMillis(250) else null,
        priority = 1,
        destinations = persistentListOf(Destination(ServiceName(service), 1)),
        maxAttempts = attempts,
        public = false,
        cacheAffinity = kind == RouteKind.STREAMING,
        resumable = false,
    )

    private fun service(name: String, engine: EngineProfile?) = Service(
        name = ServiceName(name),
        healthPath = "/health",
        maxConnections = CONNECTIONS,
        coldStart = Duration.ZERO,
        coldRequestsPerSecond = 0.0,
        engine = engine,
    )

    companion object {
        private const val THREADS = 3
        private const val DATA_CENTRES = 2
        private const val MODEL_SERVICE = "model"
        private const val PLAIN_SERVICE = "plain"
        private val ENGINE = EngineProfile(
            slots = SLOTS,
            cacheTokens = CACHE_TOKENS,
            bytesPerToken = BYTES_PER_TOKEN,
            tokensPerEvent = TOKENS_PER_EVENT,
            movesRuns = true,
            backsRunsUp = true,
        )

        /** The host of every route. */
        const val HOST = "site.example"

        /** A key of the first team. */
        const val KEY = "key-1"
    }
}
