package comfreypath.coordination.rollout

import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Rollout
import comfreypath.coordination.routing.RolloutState
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import java.time.Duration
import java.time.Instant

/**
 * A rollout as this router knows it.
 *
 * @property order the operator's request, with the state that the store has recorded
 * @property revision the store revision of [order]
 * @property startedAt when a router first saw the order, on this router's clock
 * @property held true once the target was found to be bad; it gets no requests then
 * @property own this router's samples since the order, by route
 * @property peers the samples of the peers as last reported, by peer and route
 * @property judge the evidence of all routers
 * @property quota the requests that this router has sent since the order
 * @property baselineVersions the versions that served before; they get no requests once the rollout is completed
 * @property write the state of recording the progress in the store
 */
data class RolloutProgress(
    val order: Rollout,
    val revision: Long,
    val startedAt: Instant,
    val held: Boolean = false,
    val own: PersistentMap<Int, RouteEvidence> = persistentMapOf(),
    val peers: PersistentMap<InstanceName, PersistentMap<Int, RouteEvidence>> = persistentMapOf(),
    val judge: JudgeState = JudgeState(),
    val quota: CanaryQuota = CanaryQuota(),
    val baselineVersions: PersistentSet<VersionName> = persistentSetOf(),
    val write: ProgressWrite = ProgressWrite(),
) {
    /** The state that the store has recorded for the current target; null while no router has started it. */
    val recorded: RolloutState? get() = order.state?.takeIf { order.stateTarget == order.target }

    /** True until the store has recorded how the rollout ended. */
    val open: Boolean get() = recorded == null || recorded == RolloutState.RUNNING

    /** The time since a router first saw the order. */
    fun age(now: Instant): Duration = Duration.between(startedAt, now)

    /** The verdict on the target; bad once it was found to be bad. */
    val verdict: VersionVerdict get() = if (held) VersionVerdict.BAD else judge.verdict

    /** What this router tells its peers at [now]. */
    fun report(now: Instant) = RolloutReport(
        order = RolloutReport.orderKey(order),
        age = age(now),
        held = held,
        routes = own,
    )
}

/**
 * The state of recording a rollout's progress in the store.
 *
 * @property goal the state to record; null if the recorded one is right
 * @property dueAt when [goal] was decided
 * @property calling true while a call to the store is in progress
 * @property unconfirmed true after a write whose outcome is unknown: the object must be read before it is written again
 * @property notBefore the earliest time of the next call
 */
data class ProgressWrite(
    val goal: RolloutState? = null,
    val dueAt: Instant = Instant.EPOCH,
    val calling: Boolean = false,
    val unconfirmed: Boolean = false,
    val notBefore: Instant = Instant.EPOCH,
)
