package comfreypath.router.peers

import comfreypath.coordination.fleet.FleetSize
import comfreypath.coordination.fleet.PeerStatus
import comfreypath.coordination.fleet.StoreOutages
import comfreypath.coordination.fleet.StoreOutages.ReportingRouter
import comfreypath.coordination.model.InstanceName
import comfreypath.router.RouterContext
import comfreypath.router.store.StoreReachability
import java.time.Duration
import java.time.Instant

/**
 * Collects what this router and its peers report on outages of the store.
 *
 * @param fleetSize the size of the fleet, with the routers that are not heard
 */
internal class StoreOutageReports(private val context: RouterContext, private val fleetSize: () -> FleetSize) {
    private val self = ReportingRouter(context.options.name, context.options.dataCentre)
    private var outages = StoreOutages(context.options.name)
    private var announced = false

    /** The time since the last outage of this router's own calls ended; null if it was long ago. */
    val ownEndedAgo: Duration? get() = outages.ownEndedAgo(context.now())

    /** Whether the store responds to this router. */
    val store = StoreReachability(context.clock) { failedFor ->
        report(self, failedFor)
        report(self, Duration.ZERO)
    }

    /** The end of the last outage; null if there was none. */
    fun lastOutageEndedAt(): Instant? {
        report(self, store.failingFor)
        return outages.lastEndedAt(context.now(), fleetSize())
    }

    /** Returns true once in each outage of this router's own calls, when peers should hear of it. */
    fun shouldAnnounce(): Boolean {
        val failing = store.failingFor >= StoreOutages.MIN_OUTAGE
        return (failing && !announced).also { announced = failing }
    }

    /** Records the reports in a peer's latest status message. */
    fun heard(status: PeerStatus) {
        val router = ReportingRouter(status.from, status.dataCentre)
        report(self, store.failingFor)
        val before = outages
        report(router, Duration.ofMillis(status.storeFailingMilliseconds))
        status.storeOutageEndedMilliseconds?.let {
            outages = outages.ended(router, context.now().minusMillis(it), context.now())
        }
        if (outages !== before) {
            logNewBelief(before, status.from)
        }
    }

    private fun logNewBelief(before: StoreOutages, peer: InstanceName) {
        val size = fleetSize()
        val endedAt = outages.lastEndedAt(context.now(), size)
        if (endedAt != null && before.lastEndedAt(context.now(), size) == null) {
            context.log.record("store_outage_believed", "peer" to peer, "endedAt" to endedAt)
        }
    }

    private fun report(router: ReportingRouter, failingFor: Duration) {
        outages = outages.reported(router, failingFor, context.now())
    }
}
