package comfreypath.coordination.routing

import comfreypath.coordination.model.EndpointName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import java.time.Duration
import java.time.Instant

private const val REREGISTRATION_MILLISECONDS = 2_200L
private const val MASS_REMOVAL_SHARE = 0.25
private const val MASS_REMOVAL_ENDPOINTS = 3

/**
 * Endpoints that stay in use for a grace period although their store entries have expired.
 *
 * @property expiresAt the end of the grace period of each endpoint
 */
data class RemovalGrace(val expiresAt: PersistentMap<Endpoint, Instant> = persistentMapOf()) {
    /** The endpoints whose grace period has not ended at [now]. */
    fun activeEndpoints(now: Instant): List<Endpoint> = expiresAt.filterValues { now < it }.keys.toList()
}

/**
 * Decides which endpoints stay in use for a grace period after their store entries were removed.
 *
 * Leases expire during a store outage, and live servers register again within about two seconds after it. Without the
 * grace period a service would have no endpoint in that time. The router itself may not notice the outage; it then sees
 * many entries of endpoints that were not draining disappear at once.
 */
object RemovalPolicy {
    /** How long live servers may take to register again after a store outage. */
    private val reregistrationTime: Duration = Duration.ofMillis(REREGISTRATION_MILLISECONDS)

    /**
     * Applies a change of the entries from [before] to [after] at [now].
     *
     * @param storeRecoveredAt the end of the last store outage that this router noticed; null if there was none
     */
    fun update(
        state: RemovalGrace,
        before: Map<EndpointName, Endpoint>,
        after: Map<EndpointName, Endpoint>,
        storeRecoveredAt: Instant?,
        now: Instant,
    ): RemovalGrace {
        val kept = state.expiresAt.filter { (endpoint, expiresAt) -> now < expiresAt && endpoint.name !in after }
        val removed = before.values.filter { it.name !in after && !it.draining }
        val recoveredAt = storeRecoveredAt?.takeIf { now < it + reregistrationTime }
        val massRemoval = removed.size >= maxOf(MASS_REMOVAL_ENDPOINTS.toDouble(), before.size * MASS_REMOVAL_SHARE)
        val expiresAt = when {
            recoveredAt != null -> recoveredAt + reregistrationTime
            massRemoval -> now + reregistrationTime
            else -> null
        }
        val added = if (expiresAt == null) emptyMap() else removed.associateWith { expiresAt }
        return RemovalGrace(persistentMapOf<Endpoint, Instant>().putAll(kept + added))
    }
}
