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
 * @property minInterval the time between two statuses to a peer in a small fleet
 * @property intervalPerPeer what each peer adds to that interval, so that the traffic does not grow with the fleet
 * @property updateDelay the time after which news are told, so that several share a status
 * @property updateFanout how many peers are told by a router that learnt the news from a peer
 * @property maxMissedStatuses the statuses of a peer that may be missing before it counts as gone
 * @property unregisteredPeerTtl the silence after which a peer that is not registered is forgotten
 */
data class GossipOptions(
    val minInterval: Duration = Duration.ofMillis(INTERVAL_MILLISECONDS),
    val intervalPerPeer: Duration = Duration.ofMillis(PER_PEER_MILLISECONDS),
    val updateDelay: Duration = Duration.ofMillis(NEWS_MILLISECONDS),
    val updateFanout: Int = NEWS_PEERS,
    val maxMissedStatuses: Int = MISSED_STATUSES,
    val unregisteredPeerTtl: Duration = Duration.ofMinutes(FORGET_MINUTES),
) {
    /** The time between two statuses to each of [peers] peers. */
    fun interval(peers: Int): Duration = maxOf(minInterval, intervalPerPeer.multipliedBy(peers.toLong()))

    /** The silence after which one of [peers] peers counts as gone. */
    fun livenessTimeout(peers: Int): Duration = interval(peers).multipliedBy(maxMissedStatuses.toLong())
}
