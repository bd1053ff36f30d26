package comfreypath.coordination.routing

import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf
import java.time.Duration

/** The progress of a rollout. */
enum class RolloutState {
    /** Traffic is being shifted to the target version. */
    RUNNING,

    /** All traffic goes to the target version, and the old endpoints may stop. */
    COMPLETED,

    /** All traffic goes back to the old version. */
    ROLLED_BACK,
}

/**
 * An operator's request to shift a service's traffic to another version.
 *
 * @property duration the time in which to shift the traffic, counted from the request
 * @property state the last state that the fleet recorded; null while no router has started the rollout
 * @property stateTarget the target that [state] refers to; differs from [target] when the operator has since requested
 * another version in the same object
 * @property badVersions other versions that earlier rollouts of the object found to be bad, as the fleet recorded
 */
data class Rollout(
    val service: ServiceName,
    val target: VersionName,
    val duration: Duration,
    val state: RolloutState?,
    val stateTarget: VersionName?,
    val badVersions: ImmutableSet<VersionName> = persistentSetOf(),
) {
    /** The text in log lines, without bad versions if there are none. */
    override fun toString(): String = "Rollout(service=$service, target=$target, duration=$duration, state=$state, " +
        "stateTarget=$stateTarget" + (if (badVersions.isEmpty()) "" else ", badVersions=$badVersions") + ")"
}
