package comfreypath.coordination.rollout

import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Rollout
import comfreypath.coordination.routing.RolloutState

/** An input of a [RolloutController]. */
sealed interface RolloutEvent {
    /** The store's object of the rollout was received, directly or through a peer. */
    data class OrderReceived(val order: Rollout, val revision: Long) : RolloutEvent

    /** This router sent a request on [route] to an endpoint that runs [version]. */
    data class Sent(val route: Int, val version: VersionName) : RolloutEvent

    /** A request that was counted as [Sent] was not sent after all. */
    data class Withheld(val route: Int, val version: VersionName) : RolloutEvent

    /** An attempt of this router showed something about a version. */
    data class Sampled(val route: Int, val evidence: RouteEvidence) : RolloutEvent

    /** A peer's report on this service's rollout has arrived. */
    data class ReportReceived(val from: InstanceName, val report: RolloutReport) : RolloutEvent

    /**
     * Time has passed.
     *
     * @property rank the number of live routers that are to write to the store before this one
     * @property targetUsable whether an endpoint of the target can take requests
     */
    data class Tick(val rank: Int, val targetUsable: Boolean) : RolloutEvent

    /** A write took effect; the object is now at [revision]. */
    data class WriteDone(val order: Rollout, val revision: Long) : RolloutEvent

    /** A write did not take effect, or it is not known whether it did. */
    data object WriteNotConfirmed : RolloutEvent

    /** A read failed. */
    data object ReadFailed : RolloutEvent
}

/** An output of a [RolloutController]. */
sealed interface RolloutAction {
    /** Record [state] in the store if the object is still at [expectedRevision]. */
    data class Write(val order: Rollout, val state: RolloutState, val expectedRevision: Long) : RolloutAction

    /** Read the object from the store. */
    data object Read : RolloutAction

    /** Tell all peers at once: the target was found to be bad. */
    data object Announce : RolloutAction
}
