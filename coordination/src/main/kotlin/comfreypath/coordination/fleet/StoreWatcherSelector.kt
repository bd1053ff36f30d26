package comfreypath.coordination.fleet

import comfreypath.coordination.placement.mix
import java.time.Duration

private const val MAX_SILENCE_MILLISECONDS = 1_500L
private const val MAX_SILENT_INTERVALS = 2L
private const val MAX_SUSPECTS = 16
private const val MAX_STORE_RESPONSE_AGE_MILLISECONDS = 5_000L

/**
 * Selects the routers that watch the store: one per data centre and object kind. The other routers learn changes from
 * the selected one.
 *
 * The store's rate limits grow more slowly than the fleet, so its load must not grow with the number of routers.
 * A peer is eligible only while its status messages arrive, the store responds to it and it is not draining. A router
 * without an eligible peer of higher rank in its data centre watches the store itself. Correctness doesn't depend on
 * the selection: two watchers, or none for a moment, do no harm.
 *
 * In large fleets status messages come rarely. A peer from which none is due counts as live unless [PeerProber] finds
 * that it does not respond. When many do not respond, most of the others may be lost too, so that none counts as live
 * without a message.
 *
 * @property maxSilence time without a message after which a peer is not eligible, if peers send them often; in large
 * fleets, where they don't, two intervals between status messages
 * @property requiresStore false for a duty that does not need the store
 * @property maxStoreResponseAge time without a response from the store after which a peer is not eligible
 */
class StoreWatcherSelector(
    private val maxSilence: Duration = Duration.ofMillis(MAX_SILENCE_MILLISECONDS),
    private val maxStoreResponseAge: Duration = Duration.ofMillis(MAX_STORE_RESPONSE_AGE_MILLISECONDS),
    private val requiresStore: Boolean = true,
) {
    /** Returns whether this router must watch the objects of the kind with the code [kind]. */
    fun shouldWatch(kind: String, fleet: FleetView): Boolean =
        fleet.peers.none { it.address.dataCentre == fleet.dataCentre && precedes(it, kind, fleet) }

    /** Returns the number of eligible peers of higher rank than this router for the duty called [key]. */
    fun precedingCount(key: String, fleet: FleetView): Int = fleet.peers.count { precedes(it, key, fleet) }

    /** Returns the eligible peer of the highest rank for the duty called [key]; null if it is this router. */
    fun first(key: String, fleet: FleetView): Peer? =
        fleet.peers.filter { precedes(it, key, fleet) }.maxByOrNull { rank(key, it.address.nameHash) }

    /** Returns the eligible peers of higher rank than this router for the duty called [key], the highest first. */
    fun preceding(key: String, fleet: FleetView): List<Peer> =
        ranked(key, fleet).takeWhile { rank(key, it.address.nameHash) > rank(key, fleet.selfHash) }

    /** Returns the eligible peers by their rank for the duty called [key], the highest first. */
    fun ranked(key: String, fleet: FleetView): List<Peer> =
        fleet.peers.filter { isEligible(it, fleet) }.sortedByDescending { rank(key, it.address.nameHash) }

    // The rank is compared first: it rules out most peers, and is a few instructions.
    private fun precedes(peer: Peer, key: String, fleet: FleetView): Boolean =
        rank(key, peer.address.nameHash) > rank(key, fleet.selfHash) && isEligible(peer, fleet)

    private fun rank(key: String, nameHash: Long): Long = mix(key.hashCode().toLong(), nameHash)

    private fun isEligible(peer: Peer, fleet: FleetView): Boolean {
        val state = fleet.contacts.stateOf(peer)
        val storeLive = state?.storeResponseAgeMilliseconds?.let { it <= maxStoreResponseAge.toMillis() } ?: false
        return isLive(peer, fleet) && (storeLive || !requiresStore) && state?.draining == false
    }

    private fun isLive(peer: Peer, fleet: FleetView): Boolean {
        val silence = if (fleet.suspects.size < MAX_SUSPECTS) {
            maxOf(maxSilence, fleet.statusInterval.multipliedBy(MAX_SILENT_INTERVALS))
        } else {
            maxSilence
        }
        val heardAt = fleet.contacts.lastHeard(peer)
        return heardAt != null && fleet.now <= heardAt + silence && peer.address.name !in fleet.suspects
    }
}
