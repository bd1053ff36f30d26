package comfreypath.router.rollout

import comfreypath.coordination.fleet.Duty
import comfreypath.coordination.fleet.StoreWatcherSelector
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import comfreypath.coordination.placement.unitInterval
import comfreypath.coordination.rollout.AttemptResult
import comfreypath.coordination.rollout.AttemptSample
import comfreypath.coordination.rollout.LatencyBaselines
import comfreypath.coordination.rollout.RolloutEvent
import comfreypath.coordination.rollout.RolloutReport
import comfreypath.coordination.rollout.RolloutReports
import comfreypath.coordination.rollout.RouteEvidence
import comfreypath.coordination.rollout.ServiceVersion
import comfreypath.coordination.rollout.VersionFilter
import comfreypath.coordination.rollout.VersionRequest
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Rollout
import comfreypath.coordination.routing.Route
import comfreypath.router.RouterContext
import comfreypath.router.launchLoop
import comfreypath.router.peers.PeerGossip
import comfreypath.router.request.CallerExchange
import comfreypath.router.store.ObjectStore
import comfreypath.router.view.ClusterView
import kotlinx.collections.immutable.toPersistentMap
import java.time.Duration

/** More rollouts at once than this are not reported to peers, to bound the size of status messages. */
private const val MAX_REPORTS = 4
private const val SETTLING_SECONDS = 3L
private const val VERSION_SALT = 0x76657273696f6eL

/** Chooses between the versions of services that are being rolled out, and measures how they respond. */
class VersionRollouts(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val view: ClusterView,
    private val peers: PeerGossip,
) {
    private val latencies = LatencyBaselines()
    private val ranks = StoreWatcherSelector()
    private val withdrawals = VersionWithdrawals(context, view.endpoints)
    private val drivers = HashMap<String, RolloutDriver>()
    private var byService: Map<ServiceName, RolloutDriver> = emptyMap()

    /** Follows the rollouts in the store. */
    fun start() {
        view.rollouts.onChange(::follow)
        peers.rolloutReports = ::reports
        peers.onRolloutReports = ::receive
        peers.badVersions = withdrawals::toTell
        peers.onBadVersions = { keys ->
            val orders = drivers.values.map { it.progress.order }
            withdrawals.hear(keys, targets = orders.mapTo(HashSet()) { ServiceVersion(it.service, it.target) })
        }
        // While a record is due, this router waits for those that are to write it first.
        peers.probes.relyOn { fleet ->
            drivers.values.map { it.progress }.filter { it.write.goal != null }
                .map { Duty(dutyOf(it.order), fleet, ranks) }
        }
        follow()
        context.launchLoop("advance rollouts") {
            context.ticker.await()
            drivers.values.forEach(::tick)
            withdrawals.tick(drivers.values.map { it.progress })
        }
    }

    private fun follow() {
        val orders = view.rollouts.values
        // An order that has become unreadable stays in force.
        drivers.keys.filter { view.rollouts.revisionOf(it) == null && it !in orders }.forEach {
            drivers.remove(it)?.let { driver ->
                withdrawals.removed(driver.progress)
                driver.close()
            }
        }
        orders.forEach { (name, order) ->
            val revision = view.rollouts.revisionOf(name) ?: drivers[name]?.progress?.revision ?: 0
            val driver = drivers[name]
            withdrawals.ordered(order, driver?.progress)
            if (driver == null) {
                drivers[name] = RolloutDriver(
                    context,
                    store,
                    RolloutObject(name, withdrawals::badVersionsOf),
                    order,
                    revision,
                    peers::announceUpdate,
                )
            } else {
                driver.step(RolloutEvent.OrderReceived(order, revision))
            }
        }
        byService = drivers.values.associateBy { it.progress.order.service }
    }

    private fun tick(driver: RolloutDriver) {
        val order = driver.progress.order
        val usable = view.endpoints.forService(order.service).any { it.version == order.target && !it.draining }
        val rank = ranks.precedingCount(dutyOf(order), peers.fleet)
        driver.step(RolloutEvent.Tick(rank, usable))
    }

    private fun reports(): RolloutReports? = drivers.values.filter { it.progress.open }
        .take(MAX_REPORTS)
        .map { it.progress.report(context.now()) }
        .takeIf { it.isNotEmpty() }
        ?.let { RolloutReports(it) }

    private fun receive(from: InstanceName, reports: RolloutReports) = reports.reports.forEach { report ->
        drivers.values.filter { RolloutReport.orderKey(it.progress.order) == report.order }
            .forEach { it.step(RolloutEvent.ReportReceived(from, report)) }
    }

    /** Those of [endpoints] whose version may receive the request of [exchange]. */
    fun allowed(endpoints: List<Endpoint>, exchange: CallerExchange, retry: Boolean): List<Endpoint> {
        val driver = endpoints.firstOrNull()?.let { byService[it.service] }
        val usable = withdrawals.allowed(endpoints, driver?.progress?.order?.target)
        if (driver == null) return usable
        val request = VersionRequest(
            route = RolloutReport.routeKey(exchange.route.name),
            hash = unitInterval(mix(chatHash(exchange), VERSION_SALT)),
            retry = retry,
            routers = maxOf(peers.live.size + 1, view.routers.values.size),
        )
        return VersionFilter(
            context.options.bounds.rollouts
        ).allowed(driver.progress, request, usable, context.now())
    }

    /**
     * True while the endpoints of some versions of [service] get few requests, or did a moment ago.
     *
     * The others then bear the load of all, so that the mean over all endpoints says little about each of them.
     */
    fun isShiftingTraffic(service: ServiceName): Boolean {
        val driver = byService[service] ?: return false
        return driver.progress.open && driver.targetUsable || context.now() < driver.closedAt + SETTLING_TIME
    }

    /** Records that a request on [route] is sent to [endpoint], or that one is [withheld] that was to be sent. */
    fun recordSent(endpoint: Endpoint, route: Route, withheld: Boolean = false) {
        val driver = byService[endpoint.service]?.takeIf { it.progress.open } ?: return
        val routeKey = RolloutReport.routeKey(route.name)
        if (withheld) {
            driver.step(RolloutEvent.Withheld(routeKey, endpoint.version))
        } else {
            driver.step(RolloutEvent.Sent(routeKey, endpoint.version))
            val target = endpoint.version == driver.progress.order.target
            context.metrics.rolloutRequests.labelValues(endpoint.service.text, target.toString()).inc()
        }
    }

    /** Measures an attempt of [exchange] at [endpoint], where work should take [pace] times as long as usual. */
    fun probe(endpoint: Endpoint, exchange: CallerExchange, pace: Double = 1.0): AttemptProbe = AttemptProbe(
        clock = context.clock,
        blank = AttemptSample(
            route = "${endpoint.service} ${exchange.route.name}",
            target = byService[endpoint.service]?.progress?.order?.target == endpoint.version,
            result = AttemptResult.RESPONDING,
            hasPrompt = exchange.request.prompt != null,
        ),
        timed = !view.endpoints.isCold(endpoint, context.now()),
        expectedPace = pace,
    ) { record(it, endpoint, exchange.route) }

    private fun record(sample: AttemptSample, endpoint: Endpoint, route: Route) {
        val driver = byService[endpoint.service]
        if (driver != null && driver.progress.open) {
            val tallies = latencies.classify(sample).toPersistentMap()
            val evidence = if (sample.target) RouteEvidence(target = tallies) else RouteEvidence(baseline = tallies)
            driver.step(RolloutEvent.Sampled(RolloutReport.routeKey(route.name), evidence))
        }
        if (!sample.target) {
            latencies.record(sample)
        }
    }

    private companion object {
        /** The time until the endpoints of the version that lost its traffic have left. */
        val SETTLING_TIME: Duration = Duration.ofSeconds(SETTLING_SECONDS)
    }
}

/** The key of the duty to record the progress of [order]. */
private fun dutyOf(order: Rollout): String = "rollout ${order.service}"

/** The hash of the part of the prompt that a chat's requests share, or of the request if there is none. */
private fun chatHash(exchange: CallerExchange): Long =
    exchange.request.prompt?.parts?.dropLast(1)?.lastOrNull()?.prefixId ?: hashOf(exchange.request.id.text)
