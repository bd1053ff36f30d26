package comfreypath.daemon.demo

import com.github.michaelbull.result.getOrElse
import comfreypath.coordination.invariant.InvariantViolation
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.routing.Endpoint
import comfreypath.openai.OpenAiCallerDialect
import comfreypath.openai.OpenAiEndpointDialect
import comfreypath.platform.PlatformStore
import comfreypath.router.Router
import comfreypath.router.RouterOptions
import comfreypath.router.WireFormats
import comfreypath.standins.EngineStandIn
import comfreypath.standins.ObjectStoreStandIn
import comfreypath.standins.ServiceStandIn
import comfreypath.transport.Address
import comfreypath.transport.HttpClient
import comfreypath.transport.OutgoingRequest
import comfreypath.transport.dispatcher
import comfreypath.transport.eventLoops
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.time.Instant
import java.util.concurrent.ConcurrentLinkedQueue

private const val READY_POLL_INTERVAL_MILLISECONDS = 50L
private const val MAX_READY_POLLS = 400

/** A whole fleet in one process, on loopback: an object store, engines, services and routers. */
class LocalFleet(private val options: LocalFleetOptions = LocalFleetOptions()) {
    private val loops = eventLoops("fleet", options.threads)
    private val runningRouters = LinkedHashMap<InstanceName, RunningRouter>()
    private var startedRouters = 0

    /** A running router, its event loop and its options. */
    class RunningRouter(val router: Router, val loop: EventLoop, val options: RouterOptions)

    /** A running engine stand-in, its event loop and its endpoint record. */
    class RunningEngine(val engine: EngineStandIn, val loop: EventLoop, val endpoint: Endpoint)

    /** A running stand-in for a plain service, its event loop and its endpoint record. */
    class RunningService(val service: ServiceStandIn, val loop: EventLoop, val endpoint: Endpoint)

    /** The event loop of the callers. */
    val callerLoop: EventLoop = eventLoops("callers", 1).next()

    /** The event loop of the object store. */
    val storeLoop: EventLoop = loops.next()

    /** The object store. */
    val store = ObjectStoreStandIn(storeLoop)

    /** The address of the object store. */
    lateinit var storeAddress: Address
        private set

    /** The engines, including those in an evacuated data centre. */
    val engines = mutableListOf<RunningEngine>()

    /** The plain services. */
    val services = mutableListOf<RunningService>()

    /** The violations of invariants that the routers reported. */
    val violations = ConcurrentLinkedQueue<InvariantViolation>()

    /** The running routers. */
    val routers: List<RunningRouter> get() = runningRouters.values.toList()

    /** The names, endpoint records and configuration of this fleet. */
    val layout = LocalLayout(options)

    private val client = HttpClient(callerLoop)
    private val storeAdmin by lazy { StoreAdmin(callerLoop, storeAddress) }

    /** Starts everything and waits until all routers are ready. */
    suspend fun start() {
        storeAddress = store.start(freeAddress())
        repeat(options.engines) { number ->
            val loop = loops.next()
            val engine = EngineStandIn(loop, options.engine)
            val address = withContext(loop.dispatcher()) { engine.start(freeAddress()) }
            engines += RunningEngine(engine, loop, layout.engineEndpoint(number, address))
        }
        repeat(options.services) { number ->
            val loop = loops.next()
            val service = ServiceStandIn(loop)
            val address = withContext(loop.dispatcher()) { service.start(freeAddress()) }
            services += RunningService(service, loop, layout.bookingEndpoint(number, address))
        }
        storeAdmin.createConfiguration(layout.configuration())
        (engines.map { it.endpoint } + services.map { it.endpoint }).forEach { storeAdmin.register(it) }
        repeat(options.routers) { startRouter(layout.dataCentre(it)) }
        var polls = 0
        while (routers.any { !isReady(it) }) {
            polls += 1
            check(polls < MAX_READY_POLLS) { "the routers did not become ready" }
            delay(READY_POLL_INTERVAL_MILLISECONDS)
        }
    }

    /** Starts another router in [dataCentre]. */
    suspend fun startRouter(dataCentre: DataCentreName): RunningRouter {
        startedRouters += 1
        return launch(routerOptions(InstanceName("router-$startedRouters"), dataCentre))
    }

    /** The options of a router of this fleet. */
    fun routerOptions(name: InstanceName, dataCentre: DataCentreName): RouterOptions = options.customizeRouter(
        RouterOptions(
            name = name,
            dataCentre = dataCentre,
            callerAddress = freeAddress(),
            readinessAddress = freeAddress(),
            peerAddress = freeAddress(),
            metricsAddress = freeAddress(),
            objectStore = storeAddress,
        ),
    )

    /** Starts a router with the given options. */
    suspend fun launch(routerOptions: RouterOptions): RunningRouter {
        val loop = loops.next()
        val formats = WireFormats(OpenAiCallerDialect(routerOptions.name, Instant.now()), OpenAiEndpointDialect())
        val router = Router(routerOptions, loop, formats, ::PlatformStore) { violations += it }
        withContext(loop.dispatcher()) { router.start() }
        return RunningRouter(router, loop, routerOptions).also { runningRouters[routerOptions.name] = it }
    }

    /** Stops a router gracefully. */
    suspend fun stopRouter(name: InstanceName) {
        val stopped = runningRouters.remove(name) ?: return
        withContext(stopped.loop.dispatcher()) { stopped.router.stop() }
    }

    /** Stops a router immediately, without notice to its peers and callers. */
    suspend fun killRouter(name: InstanceName) {
        val killed = runningRouters.remove(name) ?: return
        withContext(killed.loop.dispatcher()) { killed.router.kill() }
    }

    /** Evacuates a data centre, or ends its evacuation. */
    suspend fun setEvacuated(dataCentre: DataCentreName, evacuated: Boolean) =
        storeAdmin.setEvacuated(dataCentre, evacuated)

    /** Queries whether a router is ready for callers' requests. */
    suspend fun isReady(router: RunningRouter): Boolean = withContext(callerLoop.dispatcher()) {
        val request = OutgoingRequest(HttpMethod.GET, "/")
        client.fetch(router.options.readinessAddress, request).getOrElse { null }?.successful ?: false
    }

    /** Stops everything immediately; the routers do not finish their requests. */
    suspend fun stop() {
        runningRouters.keys.toList().forEach { killRouter(it) }
        engines.forEach { withContext(it.loop.dispatcher()) { it.engine.stop() } }
        services.forEach { withContext(it.loop.dispatcher()) { it.service.stop() } }
        store.stop()
        loops.shutdownGracefully()
        callerLoop.parent().shutdownGracefully()
    }
}
