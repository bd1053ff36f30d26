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

private const val READY_POLL_MILLISECONDS = 50L
private const val READY_POLLS = 400

/** A whole fleet within one process on loopback: an object store, engines, services and routers. */
class LocalFleet(private val options: LocalFleetOptions = LocalFleetOptions()) {
    private val loops = eventLoops("fleet", options.threads)
    private val running = LinkedHashMap<InstanceName, RunningRouter>()
    private var routersStarted = 0

    /** A router that runs, the loop that it runs on, and where it listens. */
    class RunningRouter(val router: Router, val loop: EventLoop, val options: RouterOptions)

    /** An endpoint stand-in and its record. */
    class RunningEngine(val engine: EngineStandIn, val loop: EventLoop, val endpoint: Endpoint)

    /** A plain service stand-in and its record. */
    class RunningService(val service: ServiceStandIn, val loop: EventLoop, val endpoint: Endpoint)

    /** The loop on which callers run. */
    val callerLoop: EventLoop = eventLoops("callers", 1).next()

    /** The loop on which the object store runs. */
    val storeLoop: EventLoop = loops.next()

    /** The object store. */
    val store = ObjectStoreStandIn(storeLoop)

    /** Where the object store listens. */
    lateinit var storeAddress: Address
        private set

    /** The engines, also those of a data centre that is out. */
    val engines = mutableListOf<RunningEngine>()

    /** The plain services. */
    val services = mutableListOf<RunningService>()

    /** The violations that routers reported. */
    val violations = ConcurrentLinkedQueue<InvariantViolation>()

    /** The routers that run. */
    val routers: List<RunningRouter> get() = running.values.toList()

    /** The names and records of what runs. */
    val layout = LocalLayout(options)

    private val client = HttpClient(callerLoop)
    private val storeAdmin by lazy { StoreAdmin(callerLoop, storeAddress) }

    /** Starts everything, and waits until each router is ready. */
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
            check(polls < READY_POLLS) { "the routers did not become ready" }
            delay(READY_POLL_MILLISECONDS)
        }
    }

    /** Starts one more router in [dataCentre]. */
    suspend fun startRouter(dataCentre: DataCentreName): RunningRouter {
        routersStarted += 1
        return launch(settings(InstanceName("router-$routersStarted"), dataCentre))
    }

    /** The settings of a router of this fleet. */
    fun settings(name: InstanceName, dataCentre: DataCentreName): RouterOptions = options.customizeRouter(
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

    /** Starts a router with the given settings. */
    suspend fun launch(settings: RouterOptions): RunningRouter {
        val loop = loops.next()
        val formats = WireFormats(OpenAiCallerDialect(settings.name, Instant.now()), OpenAiEndpointDialect())
        val router = Router(settings, loop, formats, ::PlatformStore) { violations += it }
        withContext(loop.dispatcher()) { router.start() }
        return RunningRouter(router, loop, settings).also { running[settings.name] = it }
    }

    /** Stops a router gracefully. */
    suspend fun stopRouter(name: InstanceName) {
        val stopped = running.remove(name) ?: return
        withContext(stopped.loop.dispatcher()) { stopped.router.stop() }
    }

    /** Ends a router without any notice. */
    suspend fun killRouter(name: InstanceName) {
        val killed = running.remove(name) ?: return
        withContext(killed.loop.dispatcher()) { killed.router.kill() }
    }

    /** Takes a data centre out of service, or brings it back. */
    suspend fun setEvacuated(dataCentre: DataCentreName, evacuated: Boolean) =
        storeAdmin.setEvacuated(dataCentre, evacuated)

    /** Asks a router whether it takes callers' requests. */
    suspend fun isReady(router: RunningRouter): Boolean = withContext(callerLoop.dispatcher()) {
        val request = OutgoingRequest(HttpMethod.GET, "/")
        client.whole(router.options.readinessAddress, request).getOrElse { null }?.successful ?: false
    }

    /** Stops everything at once. */
    suspend fun stop() {
        running.keys.toList().forEach { killRouter(it) }
        engines.forEach { withContext(it.loop.dispatcher()) { it.engine.stop() } }
        services.forEach { withContext(it.loop.dispatcher()) { it.service.stop() } }
        store.stop()
        loops.shutdownGracefully()
        callerLoop.parent().shutdownGracefully()
    }
}
