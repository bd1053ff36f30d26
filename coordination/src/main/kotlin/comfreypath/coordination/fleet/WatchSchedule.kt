package comfreypath.coordination.fleet

import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import java.time.Duration

/** The store's own limit on the wait of a watch is 30 s. */
private const val MAX_WAIT_SECONDS = 25L
private const val SILENCE_MILLISECONDS = 700L

/**
 * How old what the store said may get before a silent connection shows, for the decisions that rest on it.
 *
 * A watch that brings nothing is no evidence that nothing has changed: its connection may have gone silent. Only the
 * end of its wait is, so that the routers that watch a kind end their waits in turn, one in each renewal.
 *
 * @property share the renewal of the watches on a kind, as a share of the interval that the options set
 */
enum class StoreFreshness(private val share: Double) {
    /** Whether an endpoint drains or has gone: its requests are lost a little later than the drain bound. */
    ENDPOINTS(share = 0.5),

    /** Evacuations, rollouts, and the configuration, which is confirmed by reads as well. */
    ORDERS(share = 1.0),

    /** Who the other routers are, which they also tell by themselves. */
    ROUTERS(share = 12.5),
    ;

    /** The interval at which all routers together renew their watches on a kind; [interval] is set by the options. */
    fun renewal(interval: Duration): Duration = Duration.ofMillis((interval.toMillis() * share).toLong())
}

/**
 * Decides how long the watches on a kind of object wait.
 *
 * All watches end at a change. After that, the data centres end their waits one renewal after the other, so that a
 * silence of all connections is noticed by one of them within a renewal and [silence], and by each of them within as
 * many renewals as there are data centres.
 *
 * @property renewal the interval at which the data centres together renew their watches
 * @property kindCode the kind's name in the status messages between routers
 */
class WatchSchedule(private val renewal: Duration, private val kindCode: String) {
    /** The first wait after a list or a change. */
    fun first(fleet: FleetView): Duration {
        val own = rank(fleet.dataCentre.text)
        val preceding = fleet.peers.map { it.address.dataCentre.text }.distinct()
            .count { it != fleet.dataCentre.text && rank(it) < own }
        return waitFor(preceding + 1)
    }

    /** The wait after one that brought no change. */
    fun next(fleet: FleetView): Duration = waitFor(fleet.dataCentreCount)

    private fun waitFor(renewals: Int): Duration = minOf(renewal.multipliedBy(renewals.toLong()), MAX_WAIT)

    private fun rank(dataCentre: String): Long = mix(kindCode.hashCode().toLong(), hashOf(dataCentre))

    companion object {
        private val MAX_WAIT: Duration = Duration.ofSeconds(MAX_WAIT_SECONDS)

        /** The time after the end of its wait after which a watch is overdue; several times what the store needs. */
        val silence: Duration = Duration.ofMillis(SILENCE_MILLISECONDS)
    }
}
