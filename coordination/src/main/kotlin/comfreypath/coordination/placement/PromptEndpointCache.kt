package comfreypath.coordination.placement

import comfreypath.coordination.model.EndpointName

private const val DEFAULT_CAPACITY = 8_192
private const val HOLDERS = 4
private const val INITIAL_CAPACITY = 16
private const val LOAD_FACTOR = 0.75f

/**
 * Remembers to which endpoints the shared parts of prompts were sent, for the parts that were used most recently.
 *
 * @property capacity the most parts to remember
 */
class PromptEndpointCache(private val capacity: Int = DEFAULT_CAPACITY) {
    private val places = object : LinkedHashMap<Long, List<EndpointName>>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, List<EndpointName>>): Boolean =
            size > capacity
    }

    /** The last endpoints to which the part was sent, the latest first. */
    fun recentEndpoints(part: Long): List<EndpointName> = places[part].orEmpty()

    /** Notes that a request with the part went to [endpoint]. */
    fun record(part: Long, endpoint: EndpointName) {
        places[part] = (listOf(endpoint) + recentEndpoints(part).filter { it != endpoint }).take(HOLDERS)
    }
}
