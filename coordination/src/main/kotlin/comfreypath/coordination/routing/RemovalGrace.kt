package comfreypath.coordination.routing

import comfreypath.coordination.model.EndpointName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import java.time.Duration
import java.time.Instant

private const val REREGISTRATION_MILLISECONDS = 2_200L
private const val MAX_GRACE_MILLISECONDS = 1_500L

/** How long live servers may take to register again after a store outage. */
private val REREGISTRATION_TIME: Duration = Duration.ofMillis(REREGISTRATION_MILLISECONDS)

/** Less than the time for which a leaving server serves on, since one may leave just after an outage. */
private val MAX_GRACE: Duration = Duration.ofMillis(MAX_GRACE_MILLISECONDS)

/**
 * Endpoints that stay in use for a grace period if their store entries have expired in an outage of the store.
 *
 * Whether there was an outage is asked when the endpoints are used, since reports on it may come after the removals.
 *
 * @property noticedAt when this router heard that the entry of each endpoint is gone
 */
data class RemovalGrace(val noticedAt: PersistentMap<Endpoint, Instant> = persistentMapOf()) {
    /**
     * The endpoints whose grace period has not ended at [now].
     *
     * @param outageEndedAt the end of the last store outage; null if there was none
     */
    fun activeEndpoints(now: Instant, outageEndedAt: Instant?): List<Endpoint> =
        if (outageEndedAt == null || now >= outageEndedAt + REREGISTRATION_TIME) {
            emptyList()
        } else {
            noticedAt.filterValues { now < it + MAX_GRACE }.keys.toList()
        }
}

/**
 * Decides which endpoints may stay in use for a grace period after their store entries were removed.
 *
 * Leases expire during a store outage, and live servers register again within about two seconds after it. Without the
 * grace period a service would have no endpoint in that time. Without an outage, a removed endpoint is leaving, however
 * many others leave with it.
 */
object RemovalPolicy {
    /**
     * Applies a change of the entries from [before] to [after], of which this router learns at [now].
     *
     * @param noticedAt when this router first heard that an endpoint had left, which is before [now] if it was behind
     */
    fun update(
        state: RemovalGrace,
        before: Map<EndpointName, Endpoint>,
        after: Map<EndpointName, Endpoint>,
        now: Instant,
        noticedAt: (Endpoint) -> Instant = { now },
    ): RemovalGrace {
        val kept = state.noticedAt.filter { (endpoint, at) -> now < at + MAX_GRACE && endpoint.name !in after }
        val removed = before.values.filter { it.name !in after && !it.draining }
        return RemovalGrace(persistentMapOf<Endpoint, Instant>().putAll(kept + removed.associateWith(noticedAt)))
    }
}
