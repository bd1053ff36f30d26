package comfreypath.router.store

import comfreypath.coordination.claims.ClaimShardContent
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.routing.Configuration
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Rollout

/** The kinds of object that routers read and write in the platform's store. */
object ObjectKinds {
    /** The configuration, a single object called [CONFIGURATION_NAME]. */
    val CONFIGURATION = ObjectKind<Configuration>("configuration", "c")

    /** The endpoints, which register themselves. */
    val ENDPOINTS = ObjectKind<Endpoint>("endpoints", "e")

    /** The operators' requests to shift traffic between versions, and their progress. */
    val ROLLOUTS = ObjectKind<Rollout>("rollouts", "o")

    /** The evacuated data centres, whose endpoints receive no requests. */
    val EVACUATIONS = ObjectKind<DataCentreName>("evacuations", "v")

    /** The routers of the fleet, which register themselves. */
    val ROUTERS = ObjectKind<RouterRecord>("routers", "r")

    /** The shards of the claims on idempotency keys; a request runs at most once per key. */
    val CLAIMS = ObjectKind<ClaimShardContent>("claims", "k")

    /** The name of the configuration's object. */
    const val CONFIGURATION_NAME = "main"
}

/**
 * A router's own entry in the store, by which its peers find it.
 *
 * @property host the IP address at which its peers reach it
 * @property port the port at which its peers reach it, by UDP for status messages and by TCP for snapshots
 */
data class RouterRecord(val host: String, val port: Int, val dataCentre: DataCentreName)
