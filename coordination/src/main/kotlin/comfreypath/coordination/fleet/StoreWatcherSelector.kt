package comfreypath.coordination.fleet

import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import java.time.Duration
import java.time.Instant

private const val MAX_SILENCE_MILLISECONDS = 1_500L
private const val MAX_SILENT_INTERVALS = 2L
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
 * @property maxSilence time without a status message after which a peer is not eligible, if peers send them often; in
 * large fleets, where they don't, two intervals
 * @property requiresStore false for a duty that does not need the store
 * @property maxStoreResponseAge time without a response from the store after which a peer is not eligible
 */
class StoreWatcherSelector(
    private val maxSilence: Duration = Duration.ofMillis(MAX_SILENCE_MILLISECONDS),
    private val maxStoreResponseAge: Duration = Duration.ofMillis(MAX_STORE_RESPONSE_AGE_MILLISECONDS),
    private val requiresStore: Boolean = true,
) {
    /** Returns whether this router must watch the objects of the kind with the code [kind]. */
    fun shouldWatch(kind: String, fleet: FleetView): Boolean = precedingCount(kind, fleet.local()) == 0

    /** Returns the number of eligible peers of higher rank than this router for the duty called [key]. */
    fun precedingCount(key: String, fleet: FleetView): Int = preceding(key, fleet).size

    /** Returns the eligible peer of the highest rank for the duty called [key]; null if it is this router. */
    fun first(key: String, fleet: FleetView): Peer? = preceding(key, fleet).firstOrNull()

    /** Returns the eligible peers of higher rank than this router for the duty called [key], the highest first. */
    fun preceding(key: String, fleet: FleetView): List<Peer> {
        val ownRank = rank(key, fleet.self)
        return ranked(key, fleet).takeWhile { rank(key, it.address.name) > ownRank }
    }

    /** Returns the eligible peers by their rank for the duty called [key], the highest first. */
    fun ranked(key: String, fleet: FleetView): List<Peer> {
        val silence = maxOf(maxSilence, fleet.statusInterval.multipliedBy(MAX_SILENT_INTERVALS))
        return fleet.peers.filter { isEligible(it, silence, fleet.now) }
            .sortedByDescending { rank(key, it.address.name) }
    }

    private fun rank(kind: String, name: InstanceName): Long = mix(hashOf(kind), hashOf(name.text))

    private fun isEligible(peer: Peer, silence: Duration, now: Instant): Boolean {
        val live = peer.receivedAt?.let { Duration.between(it, now) <= silence } ?: false
        val storeLive = peer.status?.storeResponseAgeMilliseconds?.let { it <= maxStoreResponseAge.toMillis() } ?: false
        return live && (storeLive || !requiresStore) && peer.status?.draining == false
    }
}
