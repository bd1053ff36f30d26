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
 * Name and network address of a router.
 *
 * @property host IP address
 * @property port UDP port
 */
data class PeerAddress(val name: InstanceName, val host: String, val port: Int, val dataCentre: DataCentreName) {
    /** Hash of the name. */
    val nameHash: Long = hashOf(name.text)

    /** `host:port`. */
    val endpoint: String get() = "$host:$port"
}

/**
 * Another router, as this router knows it.
 *
 * @property address name and network address
 * @property receivedAt arrival of the latest status message; null before the first
 * @property status latest status message; null before the first
 * @property registered whether the store lists the router
 */
data class Peer(
    val address: PeerAddress,
    val receivedAt: Instant? = null,
    val status: PeerStatus? = null,
    val registered: Boolean = false,
)

/**
 * An update that is delayed so that several updates share one status message.
 *
 * @property at time at which it is sent
 * @property toAll true to send it to every peer, false to send it to a random few
 * @property heard number of peers from which this router has heard it since
 */
data class PendingUpdate(val at: Instant, val toAll: Boolean, val heard: Int = 0)

/**
 * State of the gossip protocol at one router.
 *
 * @property self this router's name
 * @property incarnation number that differs for each start of this process
 * @property peers other routers that are registered or have sent a status message
 * @property seeds configured addresses of routers whose names are unknown; each gets status messages until a peer with
 * that address is known
 * @property nextStatusAt time of the next status messages to all peers
 * @property pendingUpdate update to send before [nextStatusAt]; null if there is none
 */
data class GossipState(
    val self: InstanceName,
    val incarnation: Int,
    val peers: PersistentMap<InstanceName, Peer> = persistentMapOf(),
    val seeds: ImmutableList<PeerAddress> = persistentListOf(),
    val nextStatusAt: Instant = Instant.EPOCH,
    val pendingUpdate: PendingUpdate? = null,
) {
    /** Time at which the next status messages are due, to all peers or to a few. */
    val dueAt: Instant get() = pendingUpdate?.let { minOf(it.at, nextStatusAt) } ?: nextStatusAt

    /** Peers whose latest status message is recent enough at [now]. */
    fun livePeers(options: GossipOptions, now: Instant): List<Peer> {
        val timeout = options.livenessTimeout(peers.size)
        return peers.values.filter { it.receivedAt != null && now < it.receivedAt + timeout }
    }

    /** True if [status] echoes a recent message, so that it has not waited in a buffer and the ages in it are right. */
    fun isRecent(status: PeerStatus, options: GossipOptions, now: Instant): Boolean {
        val echo = status.echo?.takeIf { it.incarnation == incarnation } ?: return false
        return now <= Instant.ofEpochMilli(echo.milliseconds) + options.interval(peers.size) + options.maxReportDelay
    }

    /**
     * True if [peer] waits for a message of this router: its latest [status] is the first since its start, and echoes
     * none. When a whole fleet starts, most first messages echo one already.
     */
    fun isAwaitedBy(peer: Peer, status: PeerStatus, options: GossipOptions): Boolean {
        val started = peer.status?.stamp?.incarnation != status.stamp.incarnation
        val hasHeard = status.echo?.incarnation == incarnation
        return started && !hasHeard && options.relaysLoads(peers.size)
    }

    /**
     * The peers with room for the one called [name]; null if there is none. Beyond the maximum, an unregistered peer
     * takes the place of the one that has been silent longest, if that is no longer live.
     */
    internal fun roomFor(name: InstanceName, options: GossipOptions, now: Instant): PersistentMap<InstanceName, Peer>? =
        if (name in peers) peers else withRoomForUnregistered(options, now)

    private fun withRoomForUnregistered(options: GossipOptions, now: Instant): PersistentMap<InstanceName, Peer>? {
        val unregistered = peers.values.filter { !it.registered }
        if (unregistered.size < options.maxUnregisteredPeers) return peers
        val silentSince = now - options.livenessTimeout(peers.size)
        return unregistered.minByOrNull { it.receivedAt ?: Instant.MIN }
            ?.takeIf { (it.receivedAt ?: Instant.MIN) <= silentSince }
            ?.let { peers.remove(it.address.name) }
    }

    /** Schedules an update; an update that is already pending keeps its time. */
    fun withPendingUpdate(event: GossipEvent.UpdateLearned, options: GossipOptions, now: Instant): GossipState = copy(
        pendingUpdate = PendingUpdate(
            at = pendingUpdate?.at ?: (now + options.updateDelay),
            toAll = event.toAll || pendingUpdate?.toAll == true || peers.size <= options.updateFanout,
        ),
    )

    /** The pending update after one more peer has sent it; null if enough of them have, and this router need not. */
    fun updateHeardAgain(options: GossipOptions): PendingUpdate? = pendingUpdate
        ?.let { it.copy(heard = it.heard + 1) }
        ?.takeIf { it.toAll || it.heard < options.updateCopies }

    /** Chooses [count] peers pseudo-randomly, seeded by this router's name and [now]. */
    fun samplePeers(count: Int, now: Instant): List<Peer> {
        val seed = mix(hashOf(self.text), now.toEpochMilli())
        return peers.values.sortedBy { mix(hashOf(it.address.name.text), seed) }.take(count)
    }
}
