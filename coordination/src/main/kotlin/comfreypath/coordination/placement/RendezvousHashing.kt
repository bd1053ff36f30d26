package comfreypath.coordination.placement

/**
 * Ranks candidates for a key by rendezvous hashing (Thaler and Ravishankar, 1998).
 *
 * Every router that knows the same candidates computes the same order, and a candidate that comes or goes moves only
 * the keys that it wins or held.
 *
 * @property candidates in a fixed order
 */
class RendezvousHashing<T>(val candidates: List<T>, name: (T) -> String) {
    private val hashes = LongArray(candidates.size) { hashOf(name(candidates[it])) }

    /** The best candidate for the key, or null when there is none. */
    fun first(key: Long): T? = top(key, count = 1) { true }.firstOrNull()

    /** The best [count] candidates for the key that are [eligible], best first. */
    fun top(key: Long, count: Int, eligible: (T) -> Boolean): List<T> {
        val scores = LongArray(count)
        val indexes = IntArray(count)
        var found = 0
        for (index in hashes.indices) {
            val score = mix(key, hashes[index])
            val beatsLast = found < count || score > scores[found - 1]
            if (beatsLast && eligible(candidates[index])) {
                found = insert(scores, indexes, found, score, index)
            }
        }
        return List(found) { candidates[indexes[it]] }
    }

    private fun insert(scores: LongArray, indexes: IntArray, found: Int, score: Long, index: Int): Int {
        val size = minOf(found + 1, scores.size)
        var place = size - 1
        while (place > 0 && scores[place - 1] < score) {
            scores[place] = scores[place - 1]
            indexes[place] = indexes[place - 1]
            place--
        }
        scores[place] = score
        indexes[place] = index
        return size
    }
}
