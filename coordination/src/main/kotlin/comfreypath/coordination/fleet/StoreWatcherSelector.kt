package comfreypath.coordination.fleet

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import java.time.Duration
import java.time.Instant

private const val UNHEARD_MILLISECONDS = 1_500L
private const val UNANSWERED_MILLISECONDS = 5_000L

/**
 * Chooses the routers that watch the store, one in each data centre and kind of object; the others learn from them.
 *
 * The store's rates grow more slowly than the fleet, so that what it answers must not grow with the number of routers.
 * A relay counts only while it is heard and the store answers it; a router that hears no such relay in its data centre
 * watches for itself. Nobody's safety rests on the choice: two relays, or none for a moment, do no harm.
 *
 * @property maxSilence the silence after which a peer is not relied on
 * @property maxStoreResponseAge the time without an answer of the store after which a peer is not relied on
 */
class StoreWatcherSelector(
    private val maxSilence: Duration = Duration.ofMillis(UNHEARD_MILLISECONDS),
    private val maxStoreResponseAge: Duration = Duration.ofMillis(UNANSWERED_MILLISECONDS),
) {
    /** True when the router called [self] must watch the objects whose kind's code is [kind]. */
    fun shouldWatch(
        kind: String,
        self: InstanceName,
        dataCentre: DataCentreName,
        peers: Collection<Peer>,
        now: Instant,
    ): Boolean {
        val own = rank(kind, self)
        val near = peers.filter { it.address.dataCentre == dataCentre && reliable(it, now) }
        return near.none { rank(kind, it.address.name) > own }
    }

    private fun rank(kind: String, name: InstanceName): Long = mix(hashOf(kind), hashOf(name.text))

    private fun reliable(peer: Peer, now: Instant): Boolean {
        val heard = peer.receivedAt?.let { Duration.between(it, now) <= maxSilence } ?: false
        val answered = peer.status?.storeResponseAgeMilliseconds?.let { it <= maxStoreResponseAge.toMillis() } ?: false
        return heard && answered && peer.status?.draining == false
    }
}
