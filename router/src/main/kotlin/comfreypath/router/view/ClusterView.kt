package comfreypath.router.view

import comfreypath.coordination.fleet.KindDigest
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.routing.Rollout
import comfreypath.router.RouterContext
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.RouterRecord

/** What this router knows of the deployment: everything that the platform's store said. */
class ClusterView(context: RouterContext) {
    /** The configuration in force. */
    val configuration = ConfigurationView(context)

    /** The endpoints. */
    val endpoints = EndpointView(context)

    /** The rollouts, by the service's name. */
    val rollouts = KindView<Rollout>(context, "rollout")

    /** The data centres that are evacuated, by name. */
    val evacuations = KindView<DataCentreName>(context, "evacuation")

    /** The registered routers, by the instance's name. */
    val routers = KindView<RouterRecord>(context, "router")

    /** What this router knows of each followed kind, by the kind's code. */
    fun digests(): Map<String, KindDigest> = listOf(
        ObjectKinds.ENDPOINTS to endpoints.entries,
        ObjectKinds.ROLLOUTS to rollouts,
        ObjectKinds.EVACUATIONS to evacuations,
        ObjectKinds.ROUTERS to routers,
    ).mapNotNull { (kind, known) -> known.digest?.let { kind.code to it } }.toMap()
}
