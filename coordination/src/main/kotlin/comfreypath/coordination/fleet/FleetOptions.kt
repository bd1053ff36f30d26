package comfreypath.coordination.fleet

import java.time.Duration

private const val INTERVAL_MILLISECONDS = 600L
private const val PER_PEER_MILLISECONDS = 25L
private const val NEWS_MILLISECONDS = 30L

/** A change reaches e^-8, one in 3,000, of the routers with none of these statuses. */
private const val NEWS_PEERS = 8
private const val MISSED_STATUSES = 4
private const val FORGET_MINUTES = 5L

/**
 * How routers tell each other what they know.
 *
 * @property shortestInterval the time between two statuses to a peer in a small fleet
 * @property perPeer what each peer adds to that interval, so that a router's traffic does not grow with the fleet
 * @property newsDelay the time after which news are told, so that several share a status
 * @property newsPeers how many peers are told by a router that learnt the news from a peer
 * @property missedStatuses the statuses of a peer that may be missing before it counts as gone
 * @property forgetAfter the silence after which a peer that is not registered is forgotten
 */
data class FleetOptions(
    val shortestInterval: Duration = Duration.ofMillis(INTERVAL_MILLISECONDS),
    val perPeer: Duration = Duration.ofMillis(PER_PEER_MILLISECONDS),
    val newsDelay: Duration = Duration.ofMillis(NEWS_MILLISECONDS),
    val newsPeers: Int = NEWS_PEERS,
    val missedStatuses: Int = MISSED_STATUSES,
    val forgetAfter: Duration = Duration.ofMinutes(FORGET_MINUTES),
) {
    /** The time between two statuses to each of [peers] peers. */
    fun interval(peers: Int): Duration = maxOf(shortestInterval, perPeer.multipliedBy(peers.toLong()))

    /** The silence after which one of [peers] peers counts as gone. */
    fun liveness(peers: Int): Duration = interval(peers).multipliedBy(missedStatuses.toLong())
}
