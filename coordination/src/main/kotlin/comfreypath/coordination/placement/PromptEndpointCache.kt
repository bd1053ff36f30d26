package comfreypath.coordination.placement

import comfreypath.coordination.model.EndpointName

private const val DEFAULT_MAX_PARTS = 8_192
private const val MAX_ENDPOINTS = 4
private const val INITIAL_CAPACITY = 16
private const val LOAD_FACTOR = 0.75f

/**
 * An LRU cache of the endpoints that received requests with a shared prompt part.
 *
 * @property maxParts the maximum number of parts to keep
 */
class PromptEndpointCache(private val maxParts: Int = DEFAULT_MAX_PARTS) {
    private val endpoints = object : LinkedHashMap<Long, List<EndpointName>>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, List<EndpointName>>): Boolean =
            size > maxParts
    }

    /** The endpoints that received [part] most recently, the latest first. */
    fun recentEndpoints(part: Long): List<EndpointName> = endpoints[part].orEmpty()

    /** Records that a request with [part] was sent to [endpoint]. */
    fun record(part: Long, endpoint: EndpointName) {
        endpoints[part] = (listOf(endpoint) + recentEndpoints(part).filter { it != endpoint }).take(MAX_ENDPOINTS)
    }
}
