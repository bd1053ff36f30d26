package comfreypath.router

import comfreypath.coordination.fleet.GossipOptions
import comfreypath.coordination.invariant.Invariant
import comfreypath.coordination.invariant.InvariantMonitor
import comfreypath.coordination.invariant.InvariantViolation
import comfreypath.router.claims.ClaimedRelay
import comfreypath.router.claims.Claims
import comfreypath.router.peers.PeerGossip
import comfreypath.router.request.ApiKeyFilter
import comfreypath.router.request.BodyErrorFilter
import comfreypath.router.request.CallerDialect
import comfreypath.router.request.CallerExchange
import comfreypath.router.request.EndpointDialect
import comfreypath.router.request.EndpointSelector
import comfreypath.router.request.Refusal
import comfreypath.router.request.RelayDependencies
import comfreypath.router.request.RelayInvariants
import comfreypath.router.request.RequestPipeline
import comfreypath.router.request.RequestRelay
import comfreypath.router.request.ResponseStage
import comfreypath.router.request.RouteFilter
import comfreypath.router.request.StalenessLimits
import comfreypath.router.request.pipeline
import comfreypath.router.sending.EndpointLedger
import comfreypath.router.sending.EndpointSender
import comfreypath.router.sending.Ledgers
import comfreypath.router.sending.RetryLedger
import comfreypath.router.sending.ServiceProgress
import comfreypath.router.store.ObjectStore
import comfreypath.router.telemetry.EventLog
import comfreypath.router.telemetry.OpenTelemetryTracing
import comfreypath.router.telemetry.RouterMetrics
import comfreypath.router.telemetry.Tracing
import comfreypath.router.view.ClusterView
import comfreypath.transport.ConnectionPool
import comfreypath.transport.HttpConnector
import comfreypath.transport.HttpServer
import io.netty.channel.EventLoop
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.time.Duration

private const val SWEEP_MILLISECONDS = 500L
private const val STOP_POLL_MILLISECONDS = 20L
private const val LEAVE_NOTICE_MILLISECONDS = 2_500L
private const val EXIT_MILLISECONDS = 350L

/** The adapters of the wire formats that a router speaks. */
class WireFormats(val callers: CallerDialect, val endpoints: EndpointDialect)

/**
 * One router: takes callers' requests and sends them to endpoints, as the platform's store tells.
 *
 * Everything runs on [loop]'s thread; call [start] and [stop] from coroutines on it.
 */
class Router(
    options: RouterOptions,
    loop: EventLoop,
    formats: WireFormats,
    storeFor: (RouterContext, HttpConnector) -> ObjectStore,
    private val report: (InvariantViolation) -> Unit = {},
) {
    private val clock = MonotonicClock()
    private val log = EventLog(options.name, clock)
    private val settings = CurrentOptions(options)
    private val context = RouterContext(
        settings = settings,
        loop = loop,
        clock = clock,
        log = log,
        metrics = RouterMetrics(),
        monitor = InvariantMonitor(::violated),
        tracing = options.traceCollector?.let { OpenTelemetryTracing.exportingTo(it, options.name) } ?: Tracing.NONE,
    )
    private val connector = HttpConnector(loop)
    private val store = storeFor(context, connector)
    private val view = ClusterView(context)
    private val pool = ConnectionPool(connector, clock)
    private val ledger = EndpointLedger(context)
    private val ledgers = Ledgers(ledger, RetryLedger(context) { livePeers + 1 }, ServiceProgress())
    private val sender = EndpointSender(context, pool, formats.endpoints, ledger)
    private val gossipOptions = GossipOptions()
    private val peers = PeerGossip(context, view, ledger, { ready }, gossipOptions)
    private val ages = StalenessLimits { context.options.bounds }
    private val knowledge = Knowledge(context, store, view, peers, ages, gossipOptions)
    private val claims = Claims(context, store)
    private val relay = ClaimedRelay(
        context,
        claims,
        RequestRelay(
            RelayDependencies(
                context = context,
                selector = EndpointSelector(context, view, ledgers, peers),
                sender = sender,
                ledgers = ledgers,
                invariants = RelayInvariants(context, view),
                belongsTo = formats.endpoints::belongsTo,
            ),
        )::relay,
    )
    private val requests: RequestPipeline = RequestPipeline(context, formats.callers, view.configuration, stages())
    private val callers = HttpServer(
        loop,
        CallerServerOptions({ context.options.maxConnections }, view, formats.callers)::current,
        requests::handle,
    )
    private val pages = StatusPages(context) { ready }
    private var stopping = false

    /** The metrics of this router. */
    val routerMetrics: RouterMetrics get() = context.metrics

    /** The number of other routers whose statuses arrive. */
    val livePeers: Int get() = peers.live.size

    private fun stages() = pipeline(
        listOf(
            BodyErrorFilter(view.configuration, ::refuse)::filter,
            RouteFilter(view.configuration, knowledge.probe, ages, ::refuse)::filter,
            ApiKeyFilter(view.configuration, knowledge.probe, ages, ::refuse)::filter,
        ),
        ResponseStage(context, relay::run, ::refuse)::respond,
    )

    private suspend fun refuse(exchange: CallerExchange, refusal: Refusal) = requests.refuse(exchange, refusal)

    /** Listens and starts to follow the store; what no request needs comes last. */
    suspend fun start() {
        val options = context.options
        log.record("starting", "callers" to options.callerAddress, "store" to options.objectStore)
        knowledge.startEssentials()
        callers.start(options.callerAddress)
        pages.startReadiness()
        knowledge.startRest()
        claims.start()
        pages.startMetrics()
        context.scope.launch { sweep() }
        log.record("started")
    }

    /** Takes changed settings in, as far as they can change while the router runs; [cause] goes into the log. */
    fun reload(next: RouterOptions, cause: String) {
        val restartNeeded = settings.reload(next)
        log.record(
            "reloaded",
            "cause" to cause,
            "bounds" to context.options.bounds,
            "timeouts" to context.options.timeouts,
            "restartNeeded" to restartNeeded,
        )
    }

    /** Notes that changed settings are wrong, so that the ones in force stay. */
    fun rejectReload(
        reason: String,
        cause: String
    ) = log.record("reload_rejected", "cause" to cause, "reason" to reason)

    private suspend fun sweep() {
        while (true) {
            delay(SWEEP_MILLISECONDS)
            pool.sweep()
            ledger.retain { view.endpoints.isUsable(it) }
        }
    }

    /** Stops gracefully: reports not ready, finishes what it has, and leaves. */
    suspend fun stop() {
        stopping = true
        peers.draining = true
        val deadline = context.now() + context.options.timeouts.grace.minus(EXIT_TIME)
        log.record("stopping", "inProgress" to requests.inProgress)
        delay(LEAVE_NOTICE_MILLISECONDS)
        callers.closeAfterResponse = true
        callers.stopAccepting()
        while (context.now() < deadline && working()) {
            callers.closeIdle()
            delay(STOP_POLL_MILLISECONDS)
        }
        context.monitor.check(Invariant.GRACEFUL_STOP, requests.inProgress == 0) {
            "${requests.inProgress} requests were in progress when the router stopped"
        }
        log.record("stopped", "inProgress" to requests.inProgress)
        pages.stop()
        callers.stop()
        knowledge.stop()
        context.tracing.stop()
        context.scope.cancel()
    }

    private fun working(): Boolean = requests.inProgress > 0 || callers.connectionCount > 0 || claims.busy

    /** Stops at once, as a crash would, cutting what is in progress. */
    suspend fun kill() {
        context.scope.cancel()
        knowledge.stop()
        pages.stop()
        callers.stop()
    }

    private fun violated(violation: InvariantViolation) {
        context.metrics.violations.labelValues(violation.invariant.text).inc()
        log.record("invariant_violated", "invariant" to violation.invariant.text, "detail" to violation.detail)
        report(violation)
    }

    /** True while callers may be sent to this router. */
    val ready: Boolean
        get() = !stopping && view.configuration.current != null && view.endpoints.entries.confirmedAt != null

    private companion object {
        val EXIT_TIME: Duration = Duration.ofMillis(EXIT_MILLISECONDS)
    }
}
