package comfreypath.coordination.routing

import comfreypath.coordination.model.EndpointName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import java.time.Duration
import java.time.Instant

private const val RETURN_MILLISECONDS = 2_200L
private const val MASS_SHARE = 0.25
private const val MASS_LEAST = 3

/**
 * Endpoints whose entries lapsed while the store was away, and until when they are used all the same.
 *
 * @property expiresAt by the endpoint
 */
data class RemovalGrace(val expiresAt: PersistentMap<Endpoint, Instant> = persistentMapOf()) {
    /** The endpoints that are used at [now] although they have no entry. */
    fun activeEndpoints(now: Instant): List<Endpoint> = expiresAt.filterValues { now < it }.keys.toList()
}

/**
 * Decides which endpoints are used for a while after their entries were removed.
 *
 * Entries lapse while the store is away, and servers that live are back in about two seconds after its return; without
 * this a service would have no endpoint for that time. It answers an outage in which all leases run out, also one of
 * which the router itself noticed nothing: then many entries vanish at once without having been drained.
 */
object RemovalPolicy {
    /** How long servers that live may take to be back after the store's return. */
    private val returnTime: Duration = Duration.ofMillis(RETURN_MILLISECONDS)

    /**
     * Takes in that entries changed from [before] to [after] at [now]; [storeRegainedAt] is when the store answered
     * again after the last outage that this router noticed, or null.
     */
    fun update(
        state: RemovalGrace,
        before: Map<EndpointName, Endpoint>,
        after: Map<EndpointName, Endpoint>,
        storeRegainedAt: Instant?,
        now: Instant,
    ): RemovalGrace {
        val kept = state.expiresAt.filter { (endpoint, until) -> now < until && endpoint.name !in after }
        val removed = before.values.filter { it.name !in after && !it.draining }
        val regained = storeRegainedAt?.takeIf { now < it + returnTime }
        val many = removed.size >= maxOf(MASS_LEAST.toDouble(), before.size * MASS_SHARE)
        val until = when {
            regained != null -> regained + returnTime
            many -> now + returnTime
            else -> null
        }
        val added = if (until == null) emptyMap() else removed.associateWith { until }
        return RemovalGrace(persistentMapOf<Endpoint, Instant>().putAll(kept + added))
    }
}
