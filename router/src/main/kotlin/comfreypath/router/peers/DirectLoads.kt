package comfreypath.router.peers

import comfreypath.coordination.fleet.InFlight
import comfreypath.coordination.model.InstanceName
import java.time.Duration
import java.time.Instant

/** The requests in flight that the live peers have reported in their status messages, added up as they arrive. */
internal class DirectLoads {
    private class Report(val inFlight: InFlight, val at: Instant)

    private val reports = HashMap<InstanceName, Report>()
    private val sums = HashMap<Int, Int>()

    /** The arrival times of the reports, added up in milliseconds since the epoch. */
    private var arrivals = 0L

    /** The requests of the peers at the endpoint with [key]. */
    fun inFlight(key: Int): Int = sums[key] ?: 0

    /** The mean age of the reports at [now]; zero if there are none. */
    fun age(now: Instant): Duration =
        if (reports.isEmpty()) {
            Duration.ZERO
        } else {
            Duration.ofMillis(now.toEpochMilli() - arrivals / reports.size)
        }

    /** True if [peer] has a report. */
    operator fun contains(peer: InstanceName): Boolean = peer in reports

    /** Replaces the report of [peer] by [inFlight], which arrived at [at]. */
    fun put(peer: InstanceName, inFlight: InFlight, at: Instant) {
        remove(peer)
        reports[peer] = Report(inFlight, at)
        arrivals += at.toEpochMilli()
        inFlight.counts.forEach { (key, count) -> sums.merge(key, count, Int::plus) }
    }

    /** Removes the reports of all peers but [live]. */
    fun retain(live: Set<InstanceName>) = (reports.keys - live).forEach(::remove)

    private fun remove(peer: InstanceName) {
        val removed = reports.remove(peer) ?: return
        arrivals -= removed.at.toEpochMilli()
        removed.inFlight.counts.forEach { (key, count) ->
            sums.computeIfPresent(key) { _, sum -> (sum - count).takeIf { it > 0 } }
        }
    }
}
