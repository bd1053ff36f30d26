package comfreypath.coordination.placement

/**
 * Ranks candidates for a key by rendezvous hashing (Thaler and Ravishankar, 1998).
 *
 * Every router that knows the same candidates computes the same ranking. Adding or removing a candidate only moves the
 * keys that it gains or loses.
 *
 * @property candidates the candidates, in the same order on every router
 */
class RendezvousHashing<T>(val candidates: List<T>, name: (T) -> String) {
    private val hashes = LongArray(candidates.size) { hashOf(name(candidates[it])) }

    /** The highest-ranked candidate for [key], or null if there are no candidates. */
    fun first(key: Long): T? = top(key, count = 1) { true }.firstOrNull()

    /** The [count] highest-ranked candidates for [key] that are [eligible], best first. */
    fun top(key: Long, count: Int, eligible: (T) -> Boolean): List<T> {
        val scores = LongArray(count)
        val indexes = IntArray(count)
        var found = 0
        for (index in hashes.indices) {
            val score = mix(key, hashes[index])
            val ranksInTop = found < count || score > scores[found - 1]
            if (ranksInTop && eligible(candidates[index])) {
                found = insert(scores, indexes, found, score, index)
            }
        }
        return List(found) { candidates[indexes[it]] }
    }

    /** Inserts a candidate in descending order of scores and returns how many are now held. */
    private fun insert(scores: LongArray, indexes: IntArray, found: Int, score: Long, index: Int): Int {
        val size = minOf(found + 1, scores.size)
        var position = size - 1
        while (position > 0 && scores[position - 1] < score) {
            scores[position] = scores[position - 1]
            indexes[position] = indexes[position - 1]
            position--
        }
        scores[position] = score
        indexes[position] = index
        return size
    }
}
