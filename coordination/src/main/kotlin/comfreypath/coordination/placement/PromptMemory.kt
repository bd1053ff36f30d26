package comfreypath.coordination.placement

import comfreypath.coordination.model.EndpointName

private const val DEFAULT_CAPACITY = 8_192

/** Remembers to which endpoint a shared part of a prompt was sent last, for the parts that were used most recently. */
class PromptMemory(private val capacity: Int = DEFAULT_CAPACITY) {
    private val places = object : LinkedHashMap<Long, EndpointName>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, EndpointName>): Boolean = size > capacity
    }

    /** The endpoint to which the part was sent last; null if that is not known. */
    fun place(part: Long): EndpointName? = places[part]

    /** Notes that a request with the part went to [endpoint]. */
    fun note(part: Long, endpoint: EndpointName) {
        places[part] = endpoint
    }
}
