package comfreypath.coordination.rollout

import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.routing.Rollout
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import java.time.Duration

/**
 * What a router tells its peers about an open rollout.
 *
 * @property order identifies the rollout
 * @property age the time since a router first saw the rollout
 * @property held whether the sender has found the target version to be bad
 * @property routes the sender's own samples since the rollout began, by [routeKey]
 */
data class RolloutReport(
    val order: Int,
    val age: Duration,
    val held: Boolean = false,
    val routes: ImmutableMap<Int, RouteEvidence> = persistentMapOf(),
) {
    companion object {
        /** Identifies [rollout] by its service, its target and its duration. */
        fun orderKey(rollout: Rollout): Int =
            shortHash("${rollout.service} ${rollout.target} ${rollout.duration.toMillis()}")

        /** Identifies the route called [name]. */
        fun routeKey(name: String): Int = shortHash(name)

        private fun shortHash(text: String): Int = (hashOf(text) ushr Int.SIZE_BITS).toInt()
    }
}

/** A router's reports on all rollouts that are open. */
@Serializable(with = RolloutReportsSerializer::class)
data class RolloutReports(val reports: List<RolloutReport>)
