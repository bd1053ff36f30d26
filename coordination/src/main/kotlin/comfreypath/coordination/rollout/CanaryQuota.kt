package comfreypath.coordination.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import java.time.Duration

private const val SLACK_UTILIZATION = 0.5
private const val INITIAL_SLACK = 0.3

/** Limits the share of the target while traffic is slow and the slack is large in comparison. */
private const val MAX_SHARE = 0.25
private const val HASH_WIDTH = 2.0
private const val MAX_ROUTES = 64

/** The requests that one router has sent on a route: all of them, and those to the target version. */
data class RequestCount(val requests: Int = 0, val canaries: Int = 0)

/**
 * The requests of a service that one router has sent during a rollout.
 *
 * Limits the target's share by counting, so that neither a prompt that many callers share nor an uneven hash exceeds
 * the operators' bound: all routers together send at most the canary share of their requests plus half of the slack.
 */
data class CanaryQuota(
    val total: RequestCount = RequestCount(),
    val routes: PersistentMap<Int, RequestCount> = persistentMapOf(),
) {
    /** The quota after a request on [route] was sent. */
    fun after(route: Int, canary: Boolean): CanaryQuota {
        val next = CanaryQuota(total.with(canary), routes.put(route, (routes[route] ?: RequestCount()).with(canary)))
        return if (next.routes.size > MAX_ROUTES) next.copy(routes = persistentMapOf()) else next
    }

    /** The quota if a request on [route] that was counted has not been sent. */
    fun without(route: Int, canary: Boolean): CanaryQuota = CanaryQuota(
        total.without(canary),
        routes[route]?.let { routes.put(route, it.without(canary)) } ?: routes,
    )

    private fun RequestCount.without(canary: Boolean) = RequestCount(
        (requests - 1).coerceAtLeast(0),
        (if (canary) canaries - 1 else canaries).coerceAtLeast(0),
    )

    private fun RequestCount.with(canary: Boolean) =
        RequestCount(requests + 1, if (canary) canaries + 1 else canaries)

    /**
     * True if [request] may go to the target at [age].
     *
     * Prefers requests whose hash is small, so that a chat mostly stays with a version; a route that has had less than
     * its share goes first.
     */
    fun admits(request: VersionRequest, schedule: RolloutSchedule, bounds: RolloutBounds, age: Duration): Boolean {
        val share = schedule.canaryShare
        val progress = age.toMillis().toDouble() / schedule.rampAt.toMillis().coerceAtLeast(1)
        val ownSlack = bounds.slack * SLACK_UTILIZATION / request.routers
        val slack = ownSlack * (INITIAL_SLACK + progress).coerceAtMost(1.0)
        val allowed = minOf(share * total.requests + slack, MAX_SHARE * total.requests + 1)
        val left = allowed - total.canaries
        val ofRoute = routes[request.route] ?: RequestCount()
        val behind = ofRoute.canaries + 1 <= share * (ofRoute.requests + 1)
        return left >= 1.0 && (behind || request.hash < HASH_WIDTH * share * left)
    }
}
