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
 * @property receivedAt when its last status arrived; null before the first
 * @property status the last one
 * @property registered true when the store lists it
 */
data class Peer(
    val address: PeerAddress,
    val receivedAt: Instant? = null,
    val status: PeerStatus? = null,
    val registered: Boolean = false,
)

/**
 * News that wait to be told, so that several share a status.
 *
 * @property at when they are told
 * @property toAll true when every peer is told, false when a few are
 */
data class PendingUpdate(val at: Instant, val toAll: Boolean)

/**
 * What a router knows of the fleet.
 *
 * @property self this router's name
 * @property incarnation differs for each start of this process
 * @property peers the other routers that are registered or were heard
 * @property seeds routers to greet although nothing is known of them, by address alone
 * @property nextStatusAt when the next statuses to all peers are due
 * @property pendingUpdate what is to be told before; null when there are none
 */
data class GossipState(
    val self: InstanceName,
    val incarnation: Int,
    val peers: PersistentMap<InstanceName, Peer> = persistentMapOf(),
    val seeds: ImmutableList<PeerAddress> = persistentListOf(),
    val nextStatusAt: Instant = Instant.EPOCH,
    val pendingUpdate: PendingUpdate? = null,
) {
    /** When the next statuses are due, to all peers or to a few. */
    val dueAt: Instant get() = pendingUpdate?.let { minOf(it.at, nextStatusAt) } ?: nextStatusAt

    /** The peers whose statuses arrive, at [now]. */
    fun livePeers(options: GossipOptions, now: Instant): List<Peer> {
        val longest = options.livenessTimeout(peers.size)
        return peers.values.filter { it.receivedAt != null && now < it.receivedAt + longest }
    }

    /** Notes that there are news to be told. */
    fun withPendingUpdate(event: GossipEvent.UpdateLearned, options: GossipOptions, now: Instant): GossipState = copy(
        pendingUpdate = PendingUpdate(
            at = pendingUpdate?.at ?: (now + options.updateDelay),
            toAll = event.toAll || pendingUpdate?.toAll == true || peers.size <= options.updateFanout,
        ),
    )

    /** Draws [count] of the peers, others for each router and at each time. */
    fun samplePeers(count: Int, now: Instant): List<Peer> {
        val seed = mix(hashOf(self.text), now.toEpochMilli())
        return peers.values.sortedBy { mix(hashOf(it.address.name.text), seed) }.take(count)
    }
}
