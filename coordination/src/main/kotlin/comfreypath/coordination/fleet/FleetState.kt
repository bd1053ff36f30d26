package comfreypath.coordination.fleet

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import java.time.Instant

/**
 * Where a peer is reached.
 *
 * @property host an IP number
 * @property port a UDP port
 */
data class PeerAddress(val name: InstanceName, val host: String, val port: Int, val dataCentre: DataCentreName) {
    /** The host and the port in one text. */
    val endpoint: String get() = "$host:$port"
}

/**
 * What is known of one peer.
 *
 * @property address where it is reached
 * @property heardAt when its last status arrived; null before the first
 * @property status the last one
 * @property registered true when the store lists it
 */
data class Peer(
    val address: PeerAddress,
    val heardAt: Instant? = null,
    val status: PeerStatus? = null,
    val registered: Boolean = false,
)

/**
 * News that wait to be told, so that several share a status.
 *
 * @property at when they are told
 * @property toAll true when every peer is told, false when a few are
 */
data class PendingNews(val at: Instant, val toAll: Boolean)

/**
 * What a router knows of the fleet.
 *
 * @property self this router's name
 * @property incarnation differs for each start of this process
 * @property peers the other routers that are registered or were heard
 * @property seeds routers to greet although nothing is known of them, by address alone
 * @property nextStatusAt when the next statuses to all peers are due
 * @property news what is to be told before; null when there are none
 */
data class FleetState(
    val self: InstanceName,
    val incarnation: Int,
    val peers: PersistentMap<InstanceName, Peer> = persistentMapOf(),
    val seeds: ImmutableList<PeerAddress> = persistentListOf(),
    val nextStatusAt: Instant = Instant.EPOCH,
    val news: PendingNews? = null,
) {
    /** When the next statuses are due, to all peers or to a few. */
    val dueAt: Instant get() = news?.let { minOf(it.at, nextStatusAt) } ?: nextStatusAt

    /** The peers whose statuses arrive, at [now]. */
    fun live(options: FleetOptions, now: Instant): List<Peer> {
        val longest = options.liveness(peers.size)
        return peers.values.filter { it.heardAt != null && now < it.heardAt + longest }
    }

    /** Notes that there are news to be told. */
    fun noting(event: FleetEvent.News, options: FleetOptions, now: Instant): FleetState = copy(
        news = PendingNews(
            at = news?.at ?: (now + options.newsDelay),
            toAll = event.toAll || news?.toAll == true || peers.size <= options.newsPeers,
        ),
    )

    /** Draws [count] of the peers, others for each router and at each time. */
    fun draw(count: Int, now: Instant): List<Peer> {
        val seed = mix(hashOf(self.text), now.toEpochMilli())
        return peers.values.sortedBy { mix(hashOf(it.address.name.text), seed) }.take(count)
    }
}
