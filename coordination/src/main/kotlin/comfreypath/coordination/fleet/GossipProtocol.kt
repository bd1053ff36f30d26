package comfreypath.coordination.fleet

import comfreypath.coordination.Step
import comfreypath.coordination.evidence.PartReport
import comfreypath.coordination.model.InstanceName
import kotlinx.collections.immutable.toPersistentMap
import java.time.Instant

/** Input of [GossipProtocol]. */
sealed interface GossipEvent {
    /** The store lists [routers], which may include this router. */
    data class Registered(val routers: List<PeerAddress>) : GossipEvent

    /**
     * A status message arrived from [sender].
     *
     * @property knowsSame true if the sender has the same objects as this router
     */
    data class StatusReceived(
        val status: PeerStatus,
        val sender: PeerAddress,
        val knowsSame: Boolean = false,
    ) : GossipEvent

    /** Time has passed; [ownStatus] is this router's current status, without an echo. */
    data class Tick(val ownStatus: PeerStatus) : GossipEvent

    /** This router needs the status of [peer] at once, to learn how fresh its configuration is. */
    data class StatusNeeded(val peer: PeerAddress, val ownStatus: PeerStatus) : GossipEvent

    /**
     * This router learned something that its peers should know before the next regular status message.
     *
     * @property toAll true to tell every peer, false to tell a random few
     */
    data class UpdateLearned(val toAll: Boolean) : GossipEvent
}

/** Output of [GossipProtocol], to be performed by the router. */
sealed interface GossipAction {
    /** Send [status] to a peer, with [echo] as its echo. */
    data class Send(val to: PeerAddress, val status: PeerStatus, val echo: StatusStamp? = null) : GossipAction

    /** The peer confirms that [version] of the configuration was still the newest at [confirmedAt]. */
    data class ConfirmConfiguration(
        val version: Long,
        val confirmedAt: Instant,
        val peerName: InstanceName,
    ) : GossipAction

    /** Compare the [digest] of a peer with this router's own, for the object kind with this code. */
    data class CompareDigest(val kindCode: String, val digest: KindDigest, val peer: PeerAddress) : GossipAction

    /** Send this router's status to a peer that has asked for it, with [echo] as its echo. */
    data class Reply(val to: PeerAddress, val echo: StatusStamp) : GossipAction

    /** Merge the peer's [reports] of prompt parts, which are recent. */
    data class MergePartReports(val from: InstanceName, val reports: List<PartReport>) : GossipAction
}

/**
 * Gossip between routers: when to send status messages, and what to conclude from those received.
 *
 * A status message may be old when it is read, because it may have waited in a buffer while this router was suspended.
 * A freshness confirmation is therefore dated by the echo, not by its arrival: the peer wrote the message after it had
 * received the message of this router that it echoes.
 *
 * A change in the store reaches all routers at nearly the same time. If each router told all others, one change would
 * cost n^2 messages. So only the routers that watch the store tell all peers. The others tell a random few, which
 * covers the routers that a watching router can't reach. A router that hears an update from several peers before it
 * has told anyone tells no one, since the update is spreading without it.
 */
class GossipProtocol(private val options: GossipOptions = GossipOptions()) {
    /** Returns the state after [event] and the actions to perform. */
    fun step(state: GossipState, event: GossipEvent, now: Instant): Step<GossipState, GossipAction> = when (event) {
        is GossipEvent.Registered -> Step(withRegistered(state, event.routers))
        is GossipEvent.StatusReceived -> statusReceived(state, event, now)
        is GossipEvent.Tick -> tick(state, event.ownStatus, now)
        is GossipEvent.StatusNeeded -> {
            val echo = state.peers[event.peer.name]?.status?.stamp
            Step(state, listOf(GossipAction.Send(event.peer, event.ownStatus.copy(replyRequested = true), echo)))
        }
        is GossipEvent.UpdateLearned -> Step(state.withPendingUpdate(event, options, now))
    }

    private fun withRegistered(state: GossipState, routers: List<PeerAddress>): GossipState {
        val registered = routers.filter { it.name != state.self }.associate { address ->
            val known = state.peers[address.name]?.takeIf { it.address == address }
            address.name to (known?.copy(registered = true) ?: Peer(address, registered = true))
        }
        val unregistered = state.peers.filterValues { !it.registered && it.address.name !in registered }
        return state.copy(peers = (unregistered + registered).toPersistentMap())
    }

    private fun statusReceived(
        state: GossipState,
        event: GossipEvent.StatusReceived,
        now: Instant,
    ): Step<GossipState, GossipAction> {
        val status = event.status
        val peer = state.peers[status.from] ?: Peer(event.sender)
        val room = state.roomFor(status.from, options, now)
        if (status.from == state.self || room == null || !peer.lastStatusPrecedes(status)) {
            return Step(state)
        }
        val next = state.copy(
            peers = room.put(status.from, peer.copy(receivedAt = now, status = status)),
            pendingUpdate = if (event.knowsSame) state.updateHeardAgain(options) else state.pendingUpdate,
        )
        val actions = confirmations(state, status) + comparisons(status, peer.address)
        val reports = status.partReports.takeIf { state.isRecent(status, options, now) }.orEmpty()
        val merge = if (reports.isEmpty()) emptyList() else listOf(GossipAction.MergePartReports(status.from, reports))
        val replies = if (status.replyRequested || next.isAwaitedBy(peer, status, options)) {
            listOf(GossipAction.Reply(peer.address, status.stamp))
        } else {
            emptyList()
        }
        return Step(next, actions + merge + replies)
    }

    private fun Peer.lastStatusPrecedes(candidate: PeerStatus): Boolean {
        val last = status?.stamp
        return last == null || candidate.stamp.incarnation != last.incarnation ||
            candidate.stamp.milliseconds > last.milliseconds
    }

    private fun confirmations(state: GossipState, status: PeerStatus): List<GossipAction> {
        val freshness = status.configuration
        val echo = status.echo?.takeIf { it.incarnation == state.incarnation }
        return if (freshness == null || echo == null) {
            emptyList()
        } else {
            val confirmedAt = Instant.ofEpochMilli(echo.milliseconds - freshness.ageMilliseconds)
            listOf(GossipAction.ConfirmConfiguration(freshness.version, confirmedAt, status.from))
        }
    }

    private fun comparisons(status: PeerStatus, peer: PeerAddress): List<GossipAction> =
        status.digests.map { (kindCode, digest) -> GossipAction.CompareDigest(kindCode, digest, peer) }

    private fun tick(state: GossipState, own: PeerStatus, now: Instant): Step<GossipState, GossipAction> = when {
        now >= state.nextStatusAt || state.pendingUpdate?.toAll == true && now >= state.dueAt ->
            sendToAll(state, own, now)
        now >= state.dueAt -> Step(
            state.copy(pendingUpdate = null),
            statuses(state.samplePeers(options.updateFanout, now), own),
        )
        else -> Step(state)
    }

    private fun sendToAll(state: GossipState, own: PeerStatus, now: Instant): Step<GossipState, GossipAction> {
        val current = state.copy(peers = state.peers.filterValues { !expired(it, now) }.toPersistentMap())
        val known = current.peers.values.map { it.address.endpoint }.toSet()
        val toSeeds = state.seeds.filter { it.endpoint !in known }.map { GossipAction.Send(it, own) }
        val urgent = own.rollouts != null || own.partReports.isNotEmpty()
        val count = current.peers.size
        val nextStatusAt = now + if (urgent) options.urgentInterval(count) else options.interval(count)
        return Step(
            state = current.copy(nextStatusAt = nextStatusAt, pendingUpdate = null),
            actions = statuses(current.peers.values, own) + toSeeds,
        )
    }

    private fun statuses(peers: Collection<Peer>, own: PeerStatus): List<GossipAction> =
        peers.map { peer -> GossipAction.Send(peer.address, own, peer.status?.stamp) }

    /** A peer that the store doesn't list is removed after a time without messages. */
    private fun expired(peer: Peer, now: Instant): Boolean {
        val receivedAt = peer.receivedAt
        return !peer.registered && receivedAt != null && now > receivedAt + options.unregisteredPeerTtl
    }
}
