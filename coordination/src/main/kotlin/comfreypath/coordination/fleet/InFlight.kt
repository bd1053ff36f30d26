package comfreypath.coordination.fleet

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.placement.hashOf
import kotlinx.serialization.Serializable

/**
 * Number of requests that a router has in flight at each endpoint, by [key].
 *
 * Keys are 32-bit hashes of endpoint names, because full names would make up most of a status message. On a collision
 * both endpoints are counted with the sum of their requests, which only makes routers prefer other endpoints.
 */
@Serializable(with = InFlightSerializer::class)
data class InFlight(val counts: Map<Int, Int> = emptyMap()) {
    /** The requests at all endpoints. */
    val total: Int get() = counts.values.sum()

    companion object {
        /** Adds up the requests of several routers. */
        fun sum(loads: Collection<InFlight>): InFlight {
            val sums = HashMap<Int, Int>()
            loads.forEach { load -> load.counts.forEach { (key, count) -> sums.merge(key, count, Int::plus) } }
            return InFlight(sums)
        }

        /** Returns the key of an endpoint. */
        fun key(name: EndpointName): Int = key(hashOf(name.text))

        /** Returns the key of an endpoint, given the 64-bit hash of its name. */
        fun key(nameHash: Long): Int = (nameHash ushr Int.SIZE_BITS).toInt()
    }
}
