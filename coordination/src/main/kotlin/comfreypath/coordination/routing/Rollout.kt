package comfreypath.coordination.routing

import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import java.time.Duration

/** How far a rollout is. */
enum class RolloutState {
    /** Traffic is being moved. */
    RUNNING,

    /** All traffic goes to the target, and the old endpoints may stop. */
    COMPLETED,

    /** All traffic goes to the old version again. */
    ROLLED_BACK,
}

/**
 * An operator's order to move a service's traffic to another version.
 *
 * @property duration the time within which the traffic is to be moved, from the order on
 * @property state as the fleet last recorded it; null while no router has taken the order up
 * @property stateTarget the target to which [state] belongs, since an object may be given a new order
 */
data class Rollout(
    val service: ServiceName,
    val target: VersionName,
    val duration: Duration,
    val state: RolloutState?,
    val stateTarget: VersionName?,
)
