package comfreypath.router.peers

import comfreypath.coordination.fleet.PeerStatus
import comfreypath.coordination.fleet.StoreOutages
import comfreypath.coordination.fleet.StoreOutages.ReportingRouter
import comfreypath.router.RouterContext
import comfreypath.router.store.StoreReachability
import java.time.Duration
import java.time.Instant

/**
 * Collects what this router and its peers report on outages of the store.
 *
 * @param dataCentreCount the number of data centres that have routers
 */
internal class StoreOutageReports(private val context: RouterContext, private val dataCentreCount: () -> Int) {
    private val self = ReportingRouter(context.options.name, context.options.dataCentre)
    private var outages = StoreOutages(context.options.name)

    /** Whether the store responds to this router. */
    val store = StoreReachability(context.clock) { failedFor ->
        report(self, failedFor)
        report(self, Duration.ZERO)
    }

    /** The end of the last outage; null if there was none. */
    fun lastOutageEndedAt(): Instant? {
        report(self, store.failingFor)
        return outages.lastEndedAt(context.now(), dataCentreCount())
    }

    /** Records the report in a peer's latest status message. */
    fun heard(status: PeerStatus) =
        report(ReportingRouter(status.from, status.dataCentre), Duration.ofMillis(status.storeFailingMilliseconds))

    private fun report(router: ReportingRouter, failingFor: Duration) {
        outages = outages.reported(router, failingFor, context.now())
    }
}
