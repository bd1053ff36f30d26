package comfreypath.router.store

import comfreypath.coordination.claims.ClaimShardContent
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.routing.Configuration
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Rollout

/** The kinds of object that routers read and write. */
object ObjectKinds {
    /** The configuration; there is one object. */
    val CONFIGURATION = ObjectKind<Configuration>("configuration", "c")

    /** The endpoints, which register themselves. */
    val ENDPOINTS = ObjectKind<Endpoint>("endpoints", "e")

    /** The operators' orders to move traffic between versions, and how far they are. */
    val ROLLOUTS = ObjectKind<Rollout>("rollouts", "o")

    /** The data centres whose endpoints are to receive nothing. */
    val EVACUATIONS = ObjectKind<DataCentreName>("evacuations", "v")

    /** The routers of the fleet, which register themselves. */
    val ROUTERS = ObjectKind<RouterRecord>("routers", "r")

    /** What is kept of requests that run at most once for each idempotency key. */
    val CLAIMS = ObjectKind<ClaimShardContent>("claims", "k")

    /** The name of the configuration's object. */
    const val CONFIGURATION_NAME = "main"
}

/**
 * A router as it registers itself.
 *
 * @property host the IP number at which its peers reach it
 * @property port the UDP port at which its peers reach it
 */
data class RouterRecord(val host: String, val port: Int, val dataCentre: DataCentreName)
