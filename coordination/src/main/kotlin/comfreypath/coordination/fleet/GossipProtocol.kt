package comfreypath.coordination.fleet

import comfreypath.coordination.Step
import comfreypath.coordination.model.InstanceName
import kotlinx.collections.immutable.toPersistentMap
import java.time.Instant

/** Something that a router learns about the fleet, or the passing of time. */
sealed interface GossipEvent {
    /** These routers are registered in the store; this router may be among them. */
    data class Registered(val routers: List<PeerAddress>) : GossipEvent

    /** A status arrived from [sender]. */
    data class StatusReceived(val status: PeerStatus, val sender: PeerAddress) : GossipEvent

    /** Statuses are due; [own] is this router's as of now, without an echo. */
    data class Tick(val ownStatus: PeerStatus) : GossipEvent

    /**
     * This router has learnt something that its peers should know soon.
     *
     * @property toAll true to tell every peer, false to tell a few
     */
    data class UpdateLearned(val toAll: Boolean) : GossipEvent
}

/** What a router must do about the fleet. */
sealed interface GossipAction {
    /** Send a status. */
    data class Send(val to: PeerAddress, val status: PeerStatus) : GossipAction

    /** The configuration called [version] was still the newest at [confirmedAt]; [by] said so. */
    data class ConfirmConfiguration(
        val version: Long,
        val confirmedAt: Instant,
        val peerName: InstanceName,
    ) : GossipAction

    /** A peer told what it knows of the kind whose code is [kind]; it is to be compared. */
    data class CompareDigest(val kindCode: String, val digest: KindDigest, val peer: PeerAddress) : GossipAction
}

/**
 * Decides what routers tell each other and what they take from each other.
 *
 * A status may be old when it is read: it may have waited in a buffer while this router was suspended. What a peer
 * proves is therefore dated by the echo: the status was written after this router's own status that it echoes.
 *
 * A change of the store reaches every router at nearly the same time. If each of them told all others, a change would
 * cost the square of the fleet; so a router that watches the store tells all peers, and the others tell a few, which
 * reaches those that a watching router could not.
 */
class GossipProtocol(private val options: GossipOptions = GossipOptions()) {
    /** Takes an event in. */
    fun step(state: GossipState, event: GossipEvent, now: Instant): Step<GossipState, GossipAction> = when (event) {
        is GossipEvent.Registered -> Step(registered(state, event.routers))
        is GossipEvent.StatusReceived -> heard(state, event.status, event.sender, now)
        is GossipEvent.Tick -> due(state, event.ownStatus, now)
        is GossipEvent.UpdateLearned -> Step(state.withPendingUpdate(event, options, now))
    }

    private fun registered(state: GossipState, routers: List<PeerAddress>): GossipState {
        val registered = routers.filter { it.name != state.self }.associate { address ->
            val known = state.peers[address.name]?.takeIf { it.address == address }
            address.name to (known?.copy(registered = true) ?: Peer(address, registered = true))
        }
        val greeted = state.peers.filterValues { !it.registered && it.address.name !in registered }
        return state.copy(peers = (greeted + registered).toPersistentMap())
    }

    private fun heard(
        state: GossipState,
        status: PeerStatus,
        sender: PeerAddress,
        now: Instant,
    ): Step<GossipState, GossipAction> {
        val peer = state.peers[status.from] ?: Peer(sender)
        if (status.from == state.self || !peer.olderThan(status)) {
            return Step(state)
        }
        val next = state.copy(peers = state.peers.put(status.from, peer.copy(receivedAt = now, status = status)))
        return Step(next, proofs(state, status) + comparisons(status, peer.address))
    }

    private fun Peer.olderThan(candidate: PeerStatus): Boolean {
        val last = status?.stamp
        return last == null || candidate.stamp.incarnation != last.incarnation ||
            candidate.stamp.milliseconds > last.milliseconds
    }

    private fun proofs(state: GossipState, status: PeerStatus): List<GossipAction> {
        val proof = status.configuration
        val echo = status.echo?.takeIf { it.incarnation == state.incarnation }
        return if (proof == null || echo == null) {
            emptyList()
        } else {
            val provenAt = Instant.ofEpochMilli(echo.milliseconds - proof.ageMilliseconds)
            listOf(GossipAction.ConfirmConfiguration(proof.version, provenAt, status.from))
        }
    }

    private fun comparisons(status: PeerStatus, from: PeerAddress): List<GossipAction> =
        status.digests.map { (kind, digest) -> GossipAction.CompareDigest(kind, digest, from) }

    private fun due(state: GossipState, own: PeerStatus, now: Instant): Step<GossipState, GossipAction> = when {
        now >= state.nextStatusAt || state.pendingUpdate?.toAll == true && now >= state.dueAt ->
            tellAll(state, own, now)
        now >= state.dueAt -> Step(
            state.copy(pendingUpdate = null),
            statuses(state.samplePeers(options.updateFanout, now), own),
        )
        else -> Step(state)
    }

    private fun tellAll(state: GossipState, own: PeerStatus, now: Instant): Step<GossipState, GossipAction> {
        val current = state.copy(peers = state.peers.filterValues { !forgotten(it, now) }.toPersistentMap())
        val known = current.peers.values.map { it.address.endpoint }.toSet()
        val greetings = state.seeds.filter { it.endpoint !in known }.map { GossipAction.Send(it, own) }
        val nextStatusAt = now + options.interval(current.peers.size)
        return Step(
            state = current.copy(nextStatusAt = nextStatusAt, pendingUpdate = null),
            actions = statuses(current.peers.values, own) + greetings,
        )
    }

    private fun statuses(peers: Collection<Peer>, own: PeerStatus): List<GossipAction> =
        peers.map { peer -> GossipAction.Send(peer.address, own.copy(echo = peer.status?.stamp)) }

    /** A peer that was only heard, and is not registered, is forgotten when it falls silent. */
    private fun forgotten(peer: Peer, now: Instant): Boolean {
        val receivedAt = peer.receivedAt
        return !peer.registered && receivedAt != null && now > receivedAt + options.unregisteredPeerTtl
    }
}
