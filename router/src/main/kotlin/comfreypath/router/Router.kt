package comfreypath.router

import comfreypath.router.peers.PeerCopies
import comfreypath.router.peers.PeerLink
import comfreypath.router.peers.Registration
import comfreypath.router.request.CallerDialect
import comfreypath.router.request.CallerExchange
import comfreypath.router.request.EndpointDialect
import comfreypath.router.request.EndpointSelector
import comfreypath.router.request.FaultFilter
import comfreypath.router.request.KeyFilter
import comfreypath.router.request.Refusal
import comfreypath.router.request.RefusalCode
import comfreypath.router.request.RequestRelay
import comfreypath.router.request.AnswerStage
import comfreypath.router.claims.ClaimedRelay
import comfreypath.router.claims.Claims
import comfreypath.coordination.invariant.Invariant
import comfreypath.coordination.invariant.InvariantMonitor
import comfreypath.coordination.invariant.InvariantViolation
import comfreypath.router.request.RequestPipeline
import comfreypath.router.request.RouteFilter
import comfreypath.router.request.pipeline
import comfreypath.router.sending.EndpointLedger
import comfreypath.router.sending.EndpointSender
import comfreypath.router.store.ObjectKind
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.ObjectStore
import comfreypath.router.telemetry.EventLog
import comfreypath.router.telemetry.OpenTelemetryTracing
import comfreypath.router.telemetry.RouterMetrics
import comfreypath.router.telemetry.Tracing
import comfreypath.router.view.ClusterView
import comfreypath.router.view.ConfigurationProbe
import comfreypath.router.view.ConfigurationSink
import comfreypath.router.view.StoreFollower
import comfreypath.router.view.StoreSink
import comfreypath.transport.Address
import comfreypath.transport.ConnectionPool
import comfreypath.transport.HttpConnector
import comfreypath.transport.HttpServer
import comfreypath.transport.HttpServerOptions
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter
import comfreypath.transport.whole
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.time.Duration

private const val SWEEP_MILLISECONDS = 500L
private const val STOP_POLL_MILLISECONDS = 20L
private const val LEAVE_NOTICE_MILLISECONDS = 2_500L

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
    private val formats: WireFormats,
    storeFor: (RouterContext, HttpConnector) -> ObjectStore,
    private val report: (InvariantViolation) -> Unit = {},
) {
    private val clock = SteadyClock()
    private val log = EventLog(options.name, clock)
    private val context = RouterContext(
        options = options,
        loop = loop,
        clock = clock,
        log = log,
        metrics = RouterMetrics(),
        monitor = InvariantMonitor(::violated),
        tracing = options.traceCollector?.let { OpenTelemetryTracing.to(it, options.name) } ?: Tracing.NONE,
    )
    private val connector = HttpConnector(loop)
    private val store = storeFor(context, connector)
    private val view = ClusterView(context)
    private val configurationSink = ConfigurationSink(context, view)
    private val probe = ConfigurationProbe(context, store, view, configurationSink)
    private val pool = ConnectionPool(connector, clock)
    private val ledger = EndpointLedger(clock)
    private val selector = EndpointSelector(view, ledger, options.dataCentre) { peers.inFlightElsewhere(it) }
    private val sender = EndpointSender(context, pool, formats.endpoints, ledger)
    private val peers = PeerLink(context, view, ledger, { ready })
    private val copies = PeerCopies(
        context,
        store,
        mapOf(
            ObjectKinds.CONFIGURATION.label to view::configurationCopy,
            ObjectKinds.ENDPOINTS.label to view.endpoints::copy,
            ObjectKinds.ROLLOUTS.label to view.rollouts::copy,
            ObjectKinds.EVACUATIONS.label to view.evacuations::copy,
            ObjectKinds.ROUTERS.label to view.routers::copy,
        ),
    )
    private val registration = Registration(context, store)
    private val configurationFollower = follower(ObjectKinds.CONFIGURATION, configurationSink)
    private val followers: Map<String, StoreFollower<*>> = mapOf(
        ObjectKinds.ENDPOINTS.code to follower(ObjectKinds.ENDPOINTS, view.endpoints),
        ObjectKinds.ROLLOUTS.code to follower(ObjectKinds.ROLLOUTS, view.rollouts),
        ObjectKinds.EVACUATIONS.code to follower(ObjectKinds.EVACUATIONS, view.evacuations),
        ObjectKinds.ROUTERS.code to follower(ObjectKinds.ROUTERS, view.routers),
    )
    private val claims = Claims(context, store)
    private val relay = ClaimedRelay(
        context,
        claims,
        RequestRelay(context, selector, sender, formats.endpoints::owns)::relay,
    )
    private val requests: RequestPipeline = RequestPipeline(context, formats.callers, stages())
    private val callers = HttpServer(loop, ::callerLimits, requests::handle)
    private val readiness = HttpServer(loop, HttpServerOptions(), ::tellReadiness)
    private val metrics = HttpServer(loop, HttpServerOptions(), ::tellMetrics)
    private var stopping = false

    /** The metrics of this router. */
    val routerMetrics: RouterMetrics get() = context.metrics

    private fun stages() = pipeline(
        listOf(
            FaultFilter(view, ::refuse)::filter,
            RouteFilter(view, probe, ::refuse)::filter,
            KeyFilter(view, probe, context.options.bounds.revocation.minus(KEY_MARGIN), ::refuse)::filter,
        ),
        AnswerStage(relay::run, ::refuse)::answer,
    )

    private fun <T : Any> follower(kind: ObjectKind<T>, sink: StoreSink<T>) =
        StoreFollower(context, store, kind, sink, ::watchTime) { askPeers(kind, sink) }

    /** Asks a peer that knows more about [kind] than this router, if there is one. */
    private suspend fun <T : Any> askPeers(kind: ObjectKind<T>, sink: StoreSink<T>) {
        peers.knowingMore(kind)?.let { copies.fetch(it, kind, sink) }
    }

    /** The live routers together renew a watch of each kind at a steady rate, whatever their number. */
    private fun watchTime(): Duration =
        minOf(context.options.timeouts.watch.multipliedBy(peers.live.size + 1L), LONGEST_WATCH)

    private suspend fun refuse(exchange: CallerExchange, refusal: Refusal) = requests.refuse(exchange, refusal)

    /** Listens and starts to follow the store; what no request needs comes last. */
    suspend fun start() {
        val options = context.options
        log.record("starting", "callers" to options.callerAddress, "store" to options.objectStore)
        probe.start()
        followers.getValue(ObjectKinds.ENDPOINTS.code).start()
        callers.start(options.callerAddress)
        readiness.start(options.readinessAddress)
        startPeers()
        configurationFollower.start()
        followers.filterKeys { it != ObjectKinds.ENDPOINTS.code }.values.forEach { it.start() }
        registration.start()
        claims.start()
        metrics.start(options.metricsAddress)
        context.scope.launch { sweep() }
        log.record("started")
    }

    private suspend fun startPeers() {
        peers.onDigest = { code, digest -> followers[code]?.let { it.compare(view.digests()[code], digest) } }
        peers.onNewerConfiguration = { peer ->
            context.scope.launch {
                if (!probe.probe()) {
                    copies.fetch(Address(peer.host, peer.port), ObjectKinds.CONFIGURATION, configurationSink)
                }
            }
        }
        peers.start()
        copies.start()
    }

    private suspend fun sweep() {
        while (true) {
            delay(SWEEP_MILLISECONDS)
            pool.sweep()
            ledger.retain { view.endpoint(it) != null }
        }
    }

    /** Stops gracefully: reports not ready, finishes what it has, and leaves. */
    suspend fun stop() {
        stopping = true
        val deadline = context.now() + context.options.timeouts.grace.minus(EXIT_TIME)
        log.record("stopping", "inProgress" to requests.inProgress)
        delay(LEAVE_NOTICE_MILLISECONDS)
        callers.closeAfterResponse = true
        callers.stopAccepting()
        while (context.now() < deadline && (requests.inProgress > 0 || callers.connectionCount > 0 || claims.busy)) {
            callers.closeIdle()
            delay(STOP_POLL_MILLISECONDS)
        }
        context.monitor.check(Invariant.GRACEFUL_STOP, requests.inProgress == 0) {
            "${requests.inProgress} requests were in progress when the router stopped"
        }
        log.record("stopped", "inProgress" to requests.inProgress)
        readiness.stop()
        metrics.stop()
        callers.stop()
        peers.stop()
        copies.stop()
        context.tracing.stop()
        context.scope.cancel()
    }

    /** Stops at once, as a crash would, cutting what is in progress. */
    suspend fun kill() {
        context.scope.cancel()
        peers.stop()
        copies.stop()
        readiness.stop()
        metrics.stop()
        callers.stop()
    }

    private fun violated(violation: InvariantViolation) {
        context.metrics.violations.labelValues(violation.invariant.text).inc()
        log.record("invariant_violated", "invariant" to violation.invariant.text, "detail" to violation.detail)
        report(violation)
    }

    private fun callerLimits(): HttpServerOptions {
        val limits = view.configuration?.value?.limits
        val defaults = HttpServerOptions(
            connections = context.options.connections,
            rejectionBody = { formats.callers.encode(Refusal(RefusalCode.BAD_INPUT, it.detail), null).body },
        )
        return if (limits == null) {
            defaults
        } else {
            defaults.copy(
                headerBytes = limits.headerBytes,
                bodyBytes = limits.bodyBytes,
                receiveTimeout = limits.headerTimeout,
                idleTimeout = limits.idleTimeout,
            )
        }
    }

    /** True while callers may be sent to this router. */
    val ready: Boolean get() = !stopping && view.configuration != null && view.endpoints.confirmedAt != null

    private suspend fun tellReadiness(request: IncomingRequest, writer: ResponseWriter) {
        val status = if (ready) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE
        writer.whole(status, mapOf("content-type" to "text/plain"), "${request.path}\n".encodeToByteArray())
    }

    private suspend fun tellMetrics(request: IncomingRequest, writer: ResponseWriter) {
        val found = request.path == "/metrics"
        val status = if (found) HttpResponseStatus.OK else HttpResponseStatus.NOT_FOUND
        val body = if (found) context.metrics.text() else ByteArray(0)
        writer.whole(status, mapOf("content-type" to "text/plain; version=0.0.4; charset=utf-8"), body)
    }

    private companion object {
        val KEY_MARGIN: Duration = Duration.ofMillis(500)
        val EXIT_TIME: Duration = Duration.ofMillis(350)
        val LONGEST_WATCH: Duration = Duration.ofSeconds(25)
    }
}
