package comfreypath.coordination.placement

import java.time.Duration
import kotlin.math.exp

/** The even share at which this router's own sends and the reports of the peers are trusted alike. */
private const val EVEN_TRUST_SHARE = 1.0
private const val MAX_WINDOW_SECONDS = 5L

/**
 * The requests at one endpoint, as a router knows them.
 *
 * @property own requests that this router has in flight
 * @property atPeers requests that the other routers had in flight when they last reported
 * @property ownRecent requests that this router has sent in the window of a [LoadProjection]
 */
data class ReportedLoad(val own: Int, val atPeers: Int, val ownRecent: Int)

/**
 * An estimate of the requests in flight at an endpoint.
 *
 * @property expected requests of all routers
 * @property unreported the part of [expected] that no report has shown yet
 */
data class LoadEstimate(val expected: Double, val unreported: Double = 0.0)

/**
 * The reports of the other routers.
 *
 * @property peers number of other routers
 * @property age mean age of their reports
 * @property holdTime mean time for which a request is in flight; null if it is not known
 */
data class LoadReports(val peers: Int, val age: Duration, val holdTime: Duration?)

/**
 * Estimates the load of endpoints at this moment from reports that have an age.
 *
 * Load pattern: the routers of a fleet rank endpoints alike and read the same reports. An endpoint that has room in a
 * report gets requests from all of them until the next one, so that its load grows with the number of routers. What
 * this router has sent lately tells what the others have probably sent since their reports, so that it reacts to a
 * common choice without a message. The fewer its requests, the less they tell; the estimate then assumes that an
 * endpoint gets as many requests as it completes.
 *
 * @param window the time before now in which [ownRecent] requests were sent
 * @param ownRecent requests that this router has sent to all candidates in the window
 * @param candidates number of endpoints among which these requests were placed
 */
class LoadProjection(private val reports: LoadReports, window: Duration, ownRecent: Int, candidates: Int) {
    private val evenShare = if (candidates == 0) 0.0 else ownRecent.toDouble() / candidates
    private val ownTrust = evenShare / (EVEN_TRUST_SHARE + evenShare)
    private val windowMilliseconds = window.toMillis().toDouble()
    private val holdMilliseconds = reports.holdTime?.toMillis()?.takeIf { it > 0 }?.toDouble()
    private val sinceReports = Since(reports.age)

    /** What has happened to requests since a report of the given age. */
    private inner class Since(age: Duration) {
        private val milliseconds = age.toMillis().toDouble()

        /** The part of the window's requests that a peer has sent since, if it sends as this router does. */
        val sent = if (windowMilliseconds == 0.0) 0.0 else milliseconds / windowMilliseconds
        private val ageInHoldTimes = holdMilliseconds?.let { milliseconds / it }

        /** The share of the reported requests that are still in flight. */
        val remaining = ageInHoldTimes?.let { exp(-it) } ?: 1.0

        /** The share of the requests sent since that are still in flight. */
        val residing = ageInHoldTimes?.takeIf { it > 0 }?.let { (1 - remaining) / it } ?: 1.0
    }

    /** The estimated load of an endpoint. */
    fun of(load: ReportedLoad): LoadEstimate = estimate(load, sinceReports)

    /** The estimated load of an endpoint of which [ReportedLoad.atPeers] has another [age] than the reports. */
    fun of(load: ReportedLoad, age: Duration): LoadEstimate = estimate(load, Since(age))

    private fun estimate(load: ReportedLoad, since: Since): LoadEstimate {
        val reported = load.own + load.atPeers * since.remaining
        val replaced = load.atPeers * (1 - since.remaining)
        val alike = reports.peers * load.ownRecent * since.sent * since.residing
        val unreported = (1 - ownTrust) * replaced + ownTrust * alike
        return LoadEstimate(reported + unreported, unreported)
    }

    companion object {
        private val maxWindow: Duration = Duration.ofSeconds(MAX_WINDOW_SECONDS)

        /**
         * The window in which a router sends about as many requests as there are [candidates], but no shorter than the
         * age of the [reports]. [sentSince] returns the number of requests that it has sent in a time before now.
         */
        fun window(reports: LoadReports, candidates: Int, sentSince: (Duration) -> Int): Duration {
            val sent = maxOf(sentSince(maxWindow), candidates, 1).toLong()
            val even = maxWindow.multipliedBy(candidates.toLong()).dividedBy(sent)
            return even.coerceIn(minOf(reports.age, maxWindow), maxWindow)
        }
    }
}
