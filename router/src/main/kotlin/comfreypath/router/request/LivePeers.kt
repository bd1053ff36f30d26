package comfreypath.router.request

import comfreypath.coordination.model.InstanceName
import java.time.Duration

/** The live peers of this router and their load on endpoints. */
interface LivePeers {
    /** The names of the live peers. */
    val names: Collection<InstanceName>

    /** The mean age of the reports that [inFlight] adds up. */
    val loadsAge: Duration

    /** The number of requests that the peers had in flight at the endpoint whose name has the hash [nameHash]. */
    fun inFlight(nameHash: Long): Int
}
