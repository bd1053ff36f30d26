package comfreypath.coordination.fleet

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.placement.hashOf
import kotlinx.serialization.Serializable

/**
 * A router's requests in flight, by the key of the endpoint.
 *
 * Keys are short hashes of endpoints' names, since names would make up most of a status. Should two endpoints share a
 * key, each seems to have the other's requests too, which only makes the router prefer others.
 */
@Serializable(with = InFlightSerializer::class)
data class InFlight(val counts: Map<Int, Int> = emptyMap()) {
    companion object {
        /** The key of the endpoint called [name]. */
        fun key(name: EndpointName): Int = key(hashOf(name.text))

        /** The key of the endpoint whose name has the hash [nameHash]. */
        fun key(nameHash: Long): Int = (nameHash ushr Int.SIZE_BITS).toInt()
    }
}
