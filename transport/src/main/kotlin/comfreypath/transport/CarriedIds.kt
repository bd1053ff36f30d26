package comfreypath.transport

private const val MAX_IDS = 256
private const val INITIAL_CAPACITY = 8

/**
 * The IDs of the requests that one connection has carried.
 *
 * Keeps a hash of each, so that [contains] may return true for an ID that was never added.
 */
class CarriedIds {
    private var hashes = IntArray(INITIAL_CAPACITY)
    private var size = 0

    /** True once no further ID can be added. */
    internal val full: Boolean get() = size == MAX_IDS

    /** Adds [id], unless this is [full]. */
    internal fun add(id: String) {
        if (!full) {
            if (size == hashes.size) hashes = hashes.copyOf(size * 2)
            hashes[size] = id.hashCode()
            size += 1
        }
    }

    /** True if [id] was added, and perhaps if only another one with the same hash was. */
    operator fun contains(id: String): Boolean {
        val hash = id.hashCode()
        return (0 until size).any { hashes[it] == hash }
    }
}
