package comfreypath.coordination.fleet

import comfreypath.coordination.Step
import comfreypath.coordination.model.InstanceName
import kotlinx.collections.immutable.toPersistentMap
import java.time.Instant

/** Something that a router learns about the fleet, or the passing of time. */
sealed interface FleetEvent {
    /** These routers are registered in the store; this router may be among them. */
    data class Registered(val routers: List<PeerAddress>) : FleetEvent

    /** A status arrived. */
    data class Heard(val status: PeerStatus) : FleetEvent

    /** Time has passed; [own] is this router's status as of now, without an echo. */
    data class Due(val own: PeerStatus) : FleetEvent
}

/** What a router must do about the fleet. */
sealed interface FleetAction {
    /** Send a status. */
    data class Send(val to: PeerAddress, val status: PeerStatus) : FleetAction

    /** The configuration called [version] was still the newest at [confirmedAt]; [by] said so. */
    data class Confirm(val version: Long, val confirmedAt: Instant, val by: InstanceName) : FleetAction

    /** A peer knows objects of the kind called [label] otherwise, at a higher revision. */
    data class Differs(val label: String, val digest: KindDigest, val by: InstanceName) : FleetAction
}

/**
 * Decides what routers tell each other and what they take from each other.
 *
 * A status may be old when it is read: it may have waited in a buffer while this router was suspended. What a peer
 * proves is therefore dated by the echo: the status was written after this router's own status that it echoes.
 */
class Fleet(private val options: FleetOptions = FleetOptions()) {
    /** Takes an event in. */
    fun step(state: FleetState, event: FleetEvent, now: Instant): Step<FleetState, FleetAction> = when (event) {
        is FleetEvent.Registered -> Step(registered(state, event.routers))
        is FleetEvent.Heard -> heard(state, event.status, now)
        is FleetEvent.Due -> due(state, event.own, now)
    }

    private fun registered(state: FleetState, routers: List<PeerAddress>): FleetState {
        val peers = routers.filter { it.name != state.self }.associate { address ->
            val known = state.peers[address.name]?.takeIf { it.address == address }
            address.name to (known ?: Peer(address))
        }
        return state.copy(peers = peers.toPersistentMap())
    }

    private fun heard(state: FleetState, status: PeerStatus, now: Instant): Step<FleetState, FleetAction> {
        val peer = state.peers[status.from] ?: return Step(state)
        val last = peer.status?.stamp
        val newer = last == null || status.stamp.incarnation != last.incarnation ||
            status.stamp.milliseconds > last.milliseconds
        if (!newer) {
            return Step(state)
        }
        val next = state.copy(peers = state.peers.put(status.from, peer.copy(heardAt = now, status = status)))
        return Step(next, proof(state, status) + differences(status))
    }

    private fun proof(state: FleetState, status: PeerStatus): List<FleetAction> {
        val proof = status.configuration ?: return emptyList()
        val echo = status.echo?.takeIf { it.incarnation == state.incarnation } ?: return emptyList()
        val provenAt = Instant.ofEpochMilli(echo.milliseconds - proof.ageMilliseconds)
        return listOf(FleetAction.Confirm(proof.version, provenAt, status.from))
    }

    private fun differences(status: PeerStatus): List<FleetAction> =
        status.digests.map { (label, digest) -> FleetAction.Differs(label, digest, status.from) }

    private fun due(state: FleetState, own: PeerStatus, now: Instant): Step<FleetState, FleetAction> {
        if (now < state.nextStatusAt) {
            return Step(state)
        }
        val sends = state.peers.values.map { peer ->
            FleetAction.Send(peer.address, own.copy(echo = peer.status?.stamp))
        }
        return Step(state.copy(nextStatusAt = now + options.interval(state.peers.size)), sends)
    }
}
