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
 * The times that decide how long removed endpoints stay in use.
 *
 * @property now the time at which the router learns of the change
 * @property outageEndedAt the end of the last store outage; null if there was none
 * @property noticedAt when the router first heard that an endpoint had left, which is before [now] if it was behind
 */
class RemovalTimes(
    val now: Instant,
    val outageEndedAt: Instant?,
    val noticedAt: (Endpoint) -> Instant = { now },
)

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
     * Applies a change of the entries from [before] to [after], of which the router learns at [RemovalTimes.now].
     */
    fun update(
        state: RemovalGrace,
        before: Map<EndpointName, Endpoint>,
        after: Map<EndpointName, Endpoint>,
        times: RemovalTimes,
    ): RemovalGrace {
        val now = times.now
        val kept = state.expiresAt.filter { (endpoint, expiresAt) -> now < expiresAt && endpoint.name !in after }
        val removed = before.values.filter { it.name !in after && !it.draining }
        val added = times.outageEndedAt?.plus(reregistrationTime)?.let { end ->
            removed.associateWith { end.coerceAtMost(times.noticedAt(it) + maxGrace) }.filterValues { now < it }
        }
        return RemovalGrace(persistentMapOf<Endpoint, Instant>().putAll(kept + added.orEmpty()))
    }
}
