package comfreypath.coordination.fleet

import comfreypath.coordination.Step
import java.time.Duration
import java.time.Instant

/** Longer than the time between two status messages in a small fleet, whose peers then need no probes. */
private const val MAX_SILENCE_MILLISECONDS = 700L
private const val MIN_CANDIDATES = 16
private const val CANDIDATES_PER_SUSPECT = 4

/**
 * A duty that one router of [fleet] has, and on which the others rely.
 *
 * @property key the name by which [selector] ranks the routers for it
 */
class Duty(val key: String, val fleet: FleetView, val selector: StoreWatcherSelector)

/**
 * Decides which peers to probe, so that the loss of a peer on which this router relies shows in a time that does not
 * grow with the fleet.
 *
 * Load pattern: most routers of a large fleet are lost at once. Their regular status messages come every few seconds,
 * so that their absence shows late, and those next in rank may be lost as well. While the peer that has a duty is live,
 * it alone is probed, so that the messages of a router do not grow with the fleet. When it does not respond, a growing
 * number of those that follow it are probed together, until one responds.
 */
class PeerProber {
    /** Returns the peers to probe for [duties]. */
    fun step(contacts: PeerContacts, duties: List<Duty>, now: Instant): Step<PeerContacts, PeerAddress> {
        val due = duties.flatMap { silentCandidates(contacts, it, now) }
            .map { it.address }
            .distinctBy { it.name }
            .filter { contacts.isProbeDue(it.name, now) }
        return Step(due.fold(contacts) { known, peer -> known.probed(peer.name, now) }, due)
    }

    /** The candidates for [duty] that rank before the first one that was heard lately. */
    private fun silentCandidates(contacts: PeerContacts, duty: Duty, now: Instant): List<Peer> {
        fun isSilent(peer: Peer) = contacts.lastHeard(peer)?.let { now > it + maxSilence } ?: true
        val first = duty.selector.first(duty.key, duty.fleet)
        if (first == null || !isSilent(first)) return emptyList()
        val suspects = duty.fleet.suspects.size
        val count = if (suspects == 0) 1 else maxOf(MIN_CANDIDATES, CANDIDATES_PER_SUSPECT * suspects)
        return duty.selector.preceding(duty.key, duty.fleet).take(count).takeWhile(::isSilent)
    }

    private companion object {
        val maxSilence: Duration = Duration.ofMillis(MAX_SILENCE_MILLISECONDS)
    }
}
