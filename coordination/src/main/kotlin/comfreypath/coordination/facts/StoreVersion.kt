package comfreypath.coordination.facts

private const val REVISION_BITS = 42

/**
 * A revision of the platform's store together with the era in which the store gave it out.
 *
 * The store may come back from a copy some seconds old. It then gives revisions out again, for other contents, and its
 * era is higher. Versions are ordered by era, then by revision, so that whatever is read in a later era replaces what
 * was read in an earlier one. Both are kept in one number: routers compare, hash and exchange versions as they do
 * revisions, and a store without eras has era 0, in which both numbers are the same.
 */
@JvmInline
value class StoreVersion(val number: Long) : Comparable<StoreVersion> {
    /** How often the store has come back from a copy; 0 if it does not say so. */
    val era: Long get() = number ushr REVISION_BITS

    /** The store's own revision, which is meaningful only within [era]. */
    val revision: Long get() = number and MAX_REVISION

    /** True if this version is of the same era as [other]. */
    fun isOfSameEra(other: StoreVersion): Boolean = era == other.era

    override fun compareTo(other: StoreVersion): Int = number.compareTo(other.number)

    override fun toString(): String = if (era == 0L) "$revision" else "$era/$revision"

    companion object {
        /** The highest revision of a store with eras. */
        const val MAX_REVISION: Long = (1L shl REVISION_BITS) - 1

        /** The highest era. */
        const val MAX_ERA: Long = Long.MAX_VALUE ushr REVISION_BITS

        /** How logs show the version in [number]: the revision alone, or era and revision. */
        fun label(number: Long): Any = StoreVersion(number).let { if (it.era == 0L) number else it.toString() }

        /** The version of [revision] in [era]; null if one of them is out of range. */
        fun of(era: Long, revision: Long): StoreVersion? = when {
            era == 0L -> StoreVersion(revision)
            era !in 0..MAX_ERA || revision !in 0..MAX_REVISION -> null
            else -> StoreVersion((era shl REVISION_BITS) or revision)
        }
    }
}
