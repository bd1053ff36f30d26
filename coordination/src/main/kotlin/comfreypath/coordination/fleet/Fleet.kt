package comfreypath.coordination.fleet

import comfreypath.coordination.Step
import comfreypath.coordination.model.InstanceName
import kotlinx.collections.immutable.toPersistentMap
import java.time.Instant

/** Something that a router learns about the fleet, or the passing of time. */
sealed interface FleetEvent {
    /** These routers are registered in the store; this router may be among them. */
    data class Registered(val routers: List<PeerAddress>) : FleetEvent

    /** A status arrived from [sender]. */
    data class Heard(val status: PeerStatus, val sender: PeerAddress) : FleetEvent

    /** Statuses are due; [own] is this router's as of now, without an echo. */
    data class Due(val own: PeerStatus) : FleetEvent

    /**
     * This router has learnt something that its peers should know soon.
     *
     * @property toAll true to tell every peer, false to tell a few
     */
    data class News(val toAll: Boolean) : FleetEvent
}

/** What a router must do about the fleet. */
sealed interface FleetAction {
    /** Send a status. */
    data class Send(val to: PeerAddress, val status: PeerStatus) : FleetAction

    /** The configuration called [version] was still the newest at [confirmedAt]; [by] said so. */
    data class Confirm(val version: Long, val confirmedAt: Instant, val by: InstanceName) : FleetAction

    /** A peer told what it knows of the kind whose code is [kind]; it is to be compared. */
    data class Compare(val kind: String, val digest: KindDigest, val by: PeerAddress) : FleetAction
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
class Fleet(private val options: FleetOptions = FleetOptions()) {
    /** Takes an event in. */
    fun step(state: FleetState, event: FleetEvent, now: Instant): Step<FleetState, FleetAction> = when (event) {
        is FleetEvent.Registered -> Step(registered(state, event.routers))
        is FleetEvent.Heard -> heard(state, event.status, event.sender, now)
        is FleetEvent.Due -> due(state, event.own, now)
        is FleetEvent.News -> Step(state.noting(event, options, now))
    }

    private fun registered(state: FleetState, routers: List<PeerAddress>): FleetState {
        val registered = routers.filter { it.name != state.self }.associate { address ->
            val known = state.peers[address.name]?.takeIf { it.address == address }
            address.name to (known?.copy(registered = true) ?: Peer(address, registered = true))
        }
        val greeted = state.peers.filterValues { !it.registered && it.address.name !in registered }
        return state.copy(peers = (greeted + registered).toPersistentMap())
    }

    private fun heard(
        state: FleetState,
        status: PeerStatus,
        sender: PeerAddress,
        now: Instant,
    ): Step<FleetState, FleetAction> {
        val peer = state.peers[status.from] ?: Peer(sender)
        if (status.from == state.self || !peer.olderThan(status)) {
            return Step(state)
        }
        val next = state.copy(peers = state.peers.put(status.from, peer.copy(heardAt = now, status = status)))
        return Step(next, proofs(state, status) + comparisons(status, peer.address))
    }

    private fun Peer.olderThan(candidate: PeerStatus): Boolean {
        val last = status?.stamp
        return last == null || candidate.stamp.incarnation != last.incarnation ||
            candidate.stamp.milliseconds > last.milliseconds
    }

    private fun proofs(state: FleetState, status: PeerStatus): List<FleetAction> {
        val proof = status.configuration
        val echo = status.echo?.takeIf { it.incarnation == state.incarnation }
        return if (proof == null || echo == null) {
            emptyList()
        } else {
            val provenAt = Instant.ofEpochMilli(echo.milliseconds - proof.ageMilliseconds)
            listOf(FleetAction.Confirm(proof.version, provenAt, status.from))
        }
    }

    private fun comparisons(status: PeerStatus, from: PeerAddress): List<FleetAction> =
        status.digests.map { (kind, digest) -> FleetAction.Compare(kind, digest, from) }

    private fun due(state: FleetState, own: PeerStatus, now: Instant): Step<FleetState, FleetAction> = when {
        now >= state.nextStatusAt || state.news?.toAll == true && now >= state.dueAt -> tellAll(state, own, now)
        now >= state.dueAt -> Step(state.copy(news = null), statuses(state.draw(options.newsPeers, now), own))
        else -> Step(state)
    }

    private fun tellAll(state: FleetState, own: PeerStatus, now: Instant): Step<FleetState, FleetAction> {
        val current = state.copy(peers = state.peers.filterValues { !forgotten(it, now) }.toPersistentMap())
        val known = current.peers.values.map { it.address.endpoint }.toSet()
        val greetings = state.seeds.filter { it.endpoint !in known }.map { FleetAction.Send(it, own) }
        val nextStatusAt = now + options.interval(current.peers.size)
        return Step(
            state = current.copy(nextStatusAt = nextStatusAt, news = null),
            actions = statuses(current.peers.values, own) + greetings,
        )
    }

    private fun statuses(peers: Collection<Peer>, own: PeerStatus): List<FleetAction> =
        peers.map { peer -> FleetAction.Send(peer.address, own.copy(echo = peer.status?.stamp)) }

    /** A peer that was only heard, and is not registered, is forgotten when it falls silent. */
    private fun forgotten(peer: Peer, now: Instant): Boolean {
        val heardAt = peer.heardAt
        return !peer.registered && heardAt != null && now > heardAt + options.forgetAfter
    }
}
