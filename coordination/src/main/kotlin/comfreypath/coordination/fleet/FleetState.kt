package comfreypath.coordination.fleet

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
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
 * What a router knows of the fleet.
 *
 * @property self this router's name
 * @property incarnation differs for each start of this process
 * @property peers the other routers that are registered or were heard
 * @property seeds routers to greet although nothing is known of them, by address alone
 * @property nextStatusAt when the next statuses are due
 */
data class FleetState(
    val self: InstanceName,
    val incarnation: Int,
    val peers: PersistentMap<InstanceName, Peer> = persistentMapOf(),
    val seeds: ImmutableList<PeerAddress> = persistentListOf(),
    val nextStatusAt: Instant = Instant.EPOCH,
) {
    /** The peers whose statuses arrive, at [now]. */
    fun live(options: FleetOptions, now: Instant): List<Peer> {
        val longest = options.liveness(peers.size)
        return peers.values.filter { it.heardAt != null && now < it.heardAt + longest }
    }
}
