package comfreypath.coordination.fleet

import java.time.Duration

private const val MIN_INTERVAL_MILLISECONDS = 600L
private const val INTERVAL_PER_PEER_MILLISECONDS = 25L
private const val MAX_DIRECT_LOADS_PEERS = 40
private const val RELAXED_INTERVAL_PER_PEER_MILLISECONDS = 100L
private const val MAX_RELAXED_INTERVAL_MILLISECONDS = 8_000L
private const val UPDATE_DELAY_MILLISECONDS = 30L

/** If each router forwards to 8 random peers, an update misses a router with probability e^-8, 1 in 3,000. */
private const val UPDATE_FANOUT = 8
private const val UPDATE_COPIES = 2
private const val MAX_MISSED_STATUSES = 4
private const val MAX_REPORT_DELAY_SECONDS = 1L
private const val UNREGISTERED_PEER_TTL_MINUTES = 5L
private const val MAX_UNREGISTERED_PEERS = 128

/**
 * Timing and fan-out of the gossip between routers.
 *
 * @property minInterval minimum time between two status messages to the same peer
 * @property intervalPerPeer interval per known peer; it keeps a router's traffic constant as the fleet grows
 * @property maxDirectLoadsPeers number of known peers up to which status messages carry the loads of endpoints; beyond
 * it [LoadRelay] does, and status messages are sent less often
 * @property updateDelay delay before an update is sent, so that several updates share one message
 * @property updateFanout number of peers to which a router forwards an update that it learned from a peer
 * @property updateCopies number of peers that may send an update to a router before it stops forwarding the update
 * @property maxMissedStatuses number of intervals without a message after which a peer is no longer live
 * @property maxReportDelay time after which reports of prompt parts are ignored, in addition to the interval
 * @property unregisteredPeerTtl time without a message after which a peer that is not in the store is removed
 * @property maxUnregisteredPeers maximum number of peers that are not in the store, which any sender can name
 */
data class GossipOptions(
    val minInterval: Duration = Duration.ofMillis(MIN_INTERVAL_MILLISECONDS),
    val intervalPerPeer: Duration = Duration.ofMillis(INTERVAL_PER_PEER_MILLISECONDS),
    val maxDirectLoadsPeers: Int = MAX_DIRECT_LOADS_PEERS,
    val updateDelay: Duration = Duration.ofMillis(UPDATE_DELAY_MILLISECONDS),
    val updateFanout: Int = UPDATE_FANOUT,
    val updateCopies: Int = UPDATE_COPIES,
    val maxMissedStatuses: Int = MAX_MISSED_STATUSES,
    val maxReportDelay: Duration = Duration.ofSeconds(MAX_REPORT_DELAY_SECONDS),
    val unregisteredPeerTtl: Duration = Duration.ofMinutes(UNREGISTERED_PEER_TTL_MINUTES),
    val maxUnregisteredPeers: Int = MAX_UNREGISTERED_PEERS,
) {
    /** True if loads travel by relays with [peers] known peers. */
    fun relaysLoads(peers: Int): Boolean = peers > maxDirectLoadsPeers

    /** Time between two status messages to the same peer, with [peers] known peers. */
    fun interval(peers: Int): Duration =
        maxOf(urgentInterval(peers), if (relaysLoads(peers)) relaxed(peers) else minInterval)

    /** The same while the messages carry evidence about versions or prompt parts. */
    fun urgentInterval(peers: Int): Duration = maxOf(minInterval, intervalPerPeer.multipliedBy(peers.toLong()))

    private fun relaxed(peers: Int): Duration =
        minOf(Duration.ofMillis(RELAXED_INTERVAL_PER_PEER_MILLISECONDS * peers), maxRelaxedInterval)

    /** Time without a message after which a peer is no longer live, with [peers] known peers. */
    fun livenessTimeout(peers: Int): Duration = interval(peers).multipliedBy(maxMissedStatuses.toLong())

    private companion object {
        val maxRelaxedInterval: Duration = Duration.ofMillis(MAX_RELAXED_INTERVAL_MILLISECONDS)
    }
}
