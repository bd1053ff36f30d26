package comfreypath.coordination.facts

/**
 * The era of the store as one router knows it, from the store's answers and from its peers.
 *
 * Answers the load in which the store comes back from an older copy while calls are under way, and routers are in touch
 * with it before and after that. The era never decreases: an answer of an earlier era is late, or the store is at
 * fault; nothing may be concluded from it.
 *
 * @property current the highest era known
 * @property answered true once an answer of [current] has arrived, so that calls of this router meet the new store
 * @property late how many answers of earlier eras have been ignored since [current] was learned
 */
data class StoreEras(val current: Long = 0, val answered: Boolean = false, val late: Long = 0) {
    /** The outcome of an answer. */
    enum class Verdict {
        /** The answer is of the era that was known. */
        CURRENT,

        /** The answer is the first of a new era. */
        CHANGED,

        /** The answer is of an earlier era than one that is known. */
        EARLIER,
    }

    /** Learns of an answer of [era]; 0 if the store named none. */
    fun answered(era: Long): Pair<StoreEras, Verdict> = when {
        era < current -> copy(late = late + 1) to Verdict.EARLIER
        era > current -> StoreEras(era, answered = true) to if (answered) Verdict.CHANGED else Verdict.CURRENT
        else -> copy(answered = true) to Verdict.CURRENT
    }

    /** Learns from a peer of [era]. */
    fun heard(era: Long): StoreEras = if (era > current) StoreEras(era, answered = answered) else this
}
