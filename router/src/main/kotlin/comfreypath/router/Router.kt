package comfreypath.router

import comfreypath.coordination.fleet.GossipOptions
import comfreypath.coordination.invariant.Invariant
import comfreypath.coordination.invariant.InvariantMonitor
import comfreypath.coordination.invariant.InvariantViolation
import comfreypath.coordination.limits.KnownRouters
import comfreypath.coordination.overload.DrainAdmission
import comfreypath.router.claims.ClaimCoordinator
import comfreypath.router.claims.IdempotentRelay
import comfreypath.router.evidence.AttemptEvidence
import comfreypath.router.peers.PeerGossip
import comfreypath.router.request.ApiKeyFilter
import comfreypath.router.request.BodyErrorFilter
import comfreypath.router.request.CallerDialect
import comfreypath.router.request.CallerExchange
import comfreypath.router.request.DrainFilter
import comfreypath.router.request.EndpointDialect
import comfreypath.router.request.EndpointSelector
import comfreypath.router.request.InProgressFilter
import comfreypath.router.request.Refusal
import comfreypath.router.request.RelayDependencies
import comfreypath.router.request.RelayInvariants
import comfreypath.router.request.RequestPipeline
import comfreypath.router.request.RequestRelay
import comfreypath.router.request.ResponseStage
import comfreypath.router.request.RouteFilter
import comfreypath.router.request.StalenessLimits
import comfreypath.router.request.StartFilter
import comfreypath.router.request.pipeline
import comfreypath.router.rollout.VersionRollouts
import comfreypath.router.sending.DataCentreTracker
import comfreypath.router.sending.EndpointSender
import comfreypath.router.sending.EndpointTracker
import comfreypath.router.sending.RetryBudgets
import comfreypath.router.sending.ServiceProgress
import comfreypath.router.sending.Trackers
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
import java.time.Duration

private const val SWEEP_INTERVAL_MILLISECONDS = 500L

/** How long a draining router still accepts connections, until the platform and its callers have noticed. */
private const val DRAIN_NOTICE_MILLISECONDS = 2_500L

/** The part of the grace period that is reserved for closing everything after the drain. */
private const val EXIT_RESERVE_MILLISECONDS = 350L

/** How long the process waits for its last log lines to be written; a slow reader of the output must not hold it. */
private const val LOG_WRITE_LIMIT_MILLISECONDS = 100L

/** The adapters for the wire formats of callers and endpoints. */
class WireFormats(val callers: CallerDialect, val endpoints: EndpointDialect)

/**
 * Accepts requests from callers and relays them to the endpoints that the platform's object store lists.
 *
 * Runs entirely on the thread of [loop]; call [start] and [stop] from coroutines on it. [onViolation] is called with
 * each violated invariant.
 */
class Router(
    options: RouterOptions,
    loop: EventLoop,
    formats: WireFormats,
    createStore: (RouterContext, HttpConnector) -> ObjectStore,
    private val onViolation: (InvariantViolation) -> Unit = {},
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
        monitor = InvariantMonitor(::recordViolation),
        tracing = options.traceCollector?.let { OpenTelemetryTracing.exportingTo(it, options.name) } ?: Tracing.NONE,
    )
    private val connector = HttpConnector(loop, context.memory)
    private val store = createStore(context, connector)
    private val view = ClusterView(context)
    private val pool = ConnectionPool(connector, clock)
    private val endpointTracker = EndpointTracker(context) { knownRouters }
    private val sender = EndpointSender(context, pool, formats.endpoints, endpointTracker)
    private val gossipOptions = GossipOptions()
    private val peers = PeerGossip(context, view, endpointTracker, { ready }, gossipOptions)
    private val rollouts = VersionRollouts(context, store, view, peers)
    private val evidence = AttemptEvidence(context, connector, endpointTracker, view.endpoints, peers)
    private val trackers = Trackers(
        endpoints = endpointTracker,
        retries = RetryBudgets(context) { livePeerCount + 1 },
        progress = ServiceProgress(),
        rollouts = rollouts,
        evidence = evidence,
        dataCentres = DataCentreTracker(context),
    )
    private val stalenessLimits = StalenessLimits { context.options.bounds }
    private val viewUpdater = ClusterViewUpdater(context, store, view, peers, stalenessLimits, gossipOptions)
    private val claims = ClaimCoordinator(
        context,
        store,
        knownEra = { maxOf(store.era, view.era) },
        othersRestored = viewUpdater::claimsRestoredByOthers,
    )
    private val relay = IdempotentRelay(
        context,
        claims,
        RequestRelay(
            RelayDependencies(
                context = context,
                selector = EndpointSelector(context, view, trackers, peers),
                sender = sender,
                trackers = trackers,
                invariants = RelayInvariants(context, view),
                streams = formats.endpoints,
            ),
        )::relay,
    )
    private val drainFilter = DrainFilter(context, trackers.progress::expectedTimes, ::refuse)
    private val requests: RequestPipeline = RequestPipeline(context, formats.callers, view.configuration, stages())
    private val callerServer = HttpServer(
        loop = loop,
        options = CallerServerOptions({ context.options.maxConnections }, view, formats.callers)::current,
        memory = context.memory,
        clock = clock,
        onEvent = CallerServerEvents(context, formats.callers)::record,
        handler = requests::handle,
    )
    private val drain = CallerDrain(context, requests, callerServer)
    private val pages = StatusPages(context) { ready }
    private var stopping = false

    /** The metrics that the router also serves over HTTP. */
    val routerMetrics: RouterMetrics get() = context.metrics

    /** The number of peers whose status messages arrive. */
    val livePeerCount: Int get() = peers.live.size

    private val knownRouters: KnownRouters get() = peers.knownRouters

    private fun stages() = pipeline(
        listOf(
            BodyErrorFilter(view.configuration, ::refuse)::filter,
            StartFilter(view, ::refuse)::filter,
            RouteFilter(view.configuration, viewUpdater.probe, stalenessLimits, ::refuse)::filter,
            ApiKeyFilter(view.configuration, viewUpdater.probe, stalenessLimits, ::refuse)::filter,
            drainFilter::filter,
            InProgressFilter({ context.options.maxRequestsInProgress }, ::refuse)::filter,
        ),
        ResponseStage(context, relay::run, ::refuse)::respond,
    )

    private suspend fun refuse(exchange: CallerExchange, refusal: Refusal) = requests.refuse(exchange, refusal)

    /** Opens the listeners and starts to follow the store. The parts that requests do not depend on start last. */
    suspend fun start() {
        val options = context.options
        log.record("starting", "callers" to options.callerAddress, "store" to options.objectStore)
        if (options.defaultedBounds.isNotEmpty()) {
            log.record("bounds_defaulted", "bounds" to options.defaultedBounds)
        }
        evidence.start()
        viewUpdater.startEssentials()
        callerServer.start(options.callerAddress)
        pages.startReadiness()
        viewUpdater.startRemaining()
        claims.start()
        view.claimsRestoredEra = claims::restoredEra
        rollouts.start()
        pages.startMetrics()
        context.launchLoop("sweep", pass = ::sweep)
        log.record("started")
    }

    /** Applies the settings of [next] that can change while the router runs; [cause] is logged. */
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

    /** Logs that changed settings were rejected as invalid. The settings in force do not change. */
    fun rejectReload(
        reason: String,
        cause: String
    ) = log.record("reload_rejected", "cause" to cause, "reason" to reason)

    /** Logs that the virtual machine does not use the [archive] of classes that it was started with. */
    fun reportUnusedArchive(archive: String) = log.record("class_archive_unused", "archive" to archive)

    private suspend fun sweep() {
        delay(SWEEP_INTERVAL_MILLISECONDS)
        pool.sweep()
        endpointTracker.retain { view.endpoints.isUsable(it) }
        endpointTracker.announcements.sweep(view.endpoints::isUsable)
        endpointTracker.limits.sweep(view.endpoints::isUsable)
        endpointTracker.told.sweep()
    }

    /**
     * Stops gracefully: reports not ready, drains, and closes all servers within the grace period, of which [elapsed]
     * is over.
     */
    suspend fun stop(elapsed: Duration = Duration.ZERO) {
        stopping = true
        peers.draining = true
        peers.announceUpdate(toAll = true)
        val deadline = context.now() + context.options.timeouts.grace.minus(EXIT_RESERVE).minus(elapsed)
        drainFilter.drain = DrainAdmission(noticedAt = context.now() + DRAIN_NOTICE, endsAt = deadline)
        log.record("stopping", "inProgress" to requests.inProgress)
        delay(DRAIN_NOTICE.toMillis())
        drain.awaitIdle(deadline, claims::busy)
        val remaining = requests.inProgress
        context.monitor.check(Invariant.GRACEFUL_STOP, remaining == 0) {
            "$remaining requests were in progress when the router stopped"
        }
        drain.refuseRemaining()
        log.record("stopped", "inProgress" to remaining)
        pages.stop()
        callerServer.stop()
        viewUpdater.stop()
        context.tracing.stop()
        context.scope.cancel()
        log.awaitWritten(LOG_WRITE_LIMIT)
    }

    /** Stops at once like a crash, aborting the requests in progress. */
    suspend fun kill() {
        context.scope.cancel()
        viewUpdater.stop()
        pages.stop()
        callerServer.stop()
    }

    private fun recordViolation(violation: InvariantViolation) {
        context.metrics.violations.labelValues(violation.invariant.text).inc()
        log.record("invariant_violated", "invariant" to violation.invariant.text, "detail" to violation.detail)
        onViolation(violation)
    }

    /** True while the platform may send callers to this router. */
    val ready: Boolean
        get() = !stopping && view.configuration.current != null && view.endpoints.entries.confirmedAt != null &&
            view.ordersKnown

    private companion object {
        val DRAIN_NOTICE: Duration = Duration.ofMillis(DRAIN_NOTICE_MILLISECONDS)
        val EXIT_RESERVE: Duration = Duration.ofMillis(EXIT_RESERVE_MILLISECONDS)
        val LOG_WRITE_LIMIT: Duration = Duration.ofMillis(LOG_WRITE_LIMIT_MILLISECONDS)
    }
}
