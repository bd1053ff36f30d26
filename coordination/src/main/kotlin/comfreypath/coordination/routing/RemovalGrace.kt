package comfreypath.coordination.routing

import comfreypath.coordination.model.EndpointName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import java.time.Duration
import java.time.Instant

private const val REREGISTRATION_MILLISECONDS = 2_200L
private const val MAX_GRACE_MILLISECONDS = 1_500L

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
 * grace period a service would have no endpoint in that time. Without an outage, a removed endpoint is leaving, however
 * many others leave with it.
 */
object RemovalPolicy {
    /** How long live servers may take to register again after a store outage. */
    private val reregistrationTime: Duration = Duration.ofMillis(REREGISTRATION_MILLISECONDS)

    /** Less than the time for which a leaving server serves on, since one may leave just after an outage. */
    private val maxGrace: Duration = Duration.ofMillis(MAX_GRACE_MILLISECONDS)

    /**
     * Applies a change of the entries from [before] to [after] at [now].
     *
     * @param outageEndedAt the end of the last store outage; null if there was none
     */
    fun update(
        state: RemovalGrace,
        before: Map<EndpointName, Endpoint>,
        after: Map<EndpointName, Endpoint>,
        outageEndedAt: Instant?,
        now: Instant,
    ): RemovalGrace {
        val kept = state.expiresAt.filter { (endpoint, expiresAt) -> now < expiresAt && endpoint.name !in after }
        val removed = before.values.filter { it.name !in after && !it.draining }
        val expiresAt = outageEndedAt?.plus(reregistrationTime)?.takeIf { now < it }?.coerceAtMost(now + maxGrace)
        val added = if (expiresAt == null) emptyMap() else removed.associateWith { expiresAt }
        return RemovalGrace(persistentMapOf<Endpoint, Instant>().putAll(kept + added))
    }
}
