package comfreypath.router.view

import comfreypath.coordination.facts.StoreVersion
import comfreypath.coordination.fleet.KindDigest
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.routing.Rollout
import comfreypath.router.RouterContext
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.RouterRecord

/** This router's view of the deployment, as last received from the platform's store or from peers. */
class ClusterView(context: RouterContext) {
    /** The configuration in force. */
    val configuration = ConfigurationView(context)

    /** The endpoints that requests may be sent to. */
    val endpoints = EndpointView(context)

    /** The rollouts, by service name. */
    val rollouts = KindView<Rollout>(context, "rollout", holdsLost = true)

    /** The evacuated data centres, by name. */
    val evacuations = KindView<DataCentreName>(context, "evacuation", holdsLost = true)

    /** The registered routers, by instance name. */
    val routers = KindView<RouterRecord>(context, "router")

    /** True once the orders of operators that take endpoints or versions out of use are known. */
    val ordersKnown: Boolean get() = evacuations.confirmedAt != null && rollouts.confirmedAt != null

    /** The highest era of the store of which this router has objects. */
    val era: Long
        get() = listOf(endpoints.entries, rollouts, evacuations, routers).maxOf { StoreVersion(it.revision).era }

    /** Returns the era in which this router has written its claims again, to tell peers; 0 if there is none. */
    var claimsRestoredEra: () -> Long = { 0 }

    /** The digest of each followed kind that has been listed, by the kind's code. */
    fun digests(): Map<String, KindDigest> = listOf(
        ObjectKinds.ENDPOINTS to endpoints.entries,
        ObjectKinds.ROLLOUTS to rollouts,
        ObjectKinds.EVACUATIONS to evacuations,
        ObjectKinds.ROUTERS to routers,
    ).mapNotNull { (kind, objects) -> objects.digest?.let { kind.code to it } }.toMap() + claimsDigest()

    private fun claimsDigest(): Map<String, KindDigest> = StoreVersion.of(claimsRestoredEra(), revision = 0)
        ?.takeIf { it.era > 0 }
        ?.let { mapOf(ObjectKinds.CLAIMS.code to KindDigest(it.number, hash = 0)) }
        .orEmpty()
}
