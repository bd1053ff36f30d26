package comfreypath.coordination.placement

import comfreypath.coordination.availability.Incarnation

private const val DEFAULT_MAX_PREFIXES = 8_192
private const val MAX_ENDPOINTS = 4
private const val INITIAL_CAPACITY = 16
private const val LOAD_FACTOR = 0.75f

/**
 * An LRU cache of the runs of endpoints that received requests with a shared prompt prefix.
 *
 * @property maxPrefixes the maximum number of prefixes to keep
 */
class PromptEndpointCache(private val maxPrefixes: Int = DEFAULT_MAX_PREFIXES) {
    private val endpoints = object : LinkedHashMap<Long, List<Incarnation>>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, List<Incarnation>>): Boolean =
            size > maxPrefixes
    }

    /** The runs of endpoints that received the prompt prefix [prefixId] most recently, the latest first. */
    fun recentEndpoints(prefixId: Long): List<Incarnation> = endpoints[prefixId].orEmpty()

    /** Records that a request with the prompt prefix [prefixId] was sent to [endpoint]. */
    fun record(prefixId: Long, endpoint: Incarnation) {
        endpoints[prefixId] =
            (listOf(endpoint) + recentEndpoints(prefixId).filter { it != endpoint }).take(MAX_ENDPOINTS)
    }
}
