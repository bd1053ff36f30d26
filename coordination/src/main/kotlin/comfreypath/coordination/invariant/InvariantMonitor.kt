package comfreypath.coordination.invariant

/** A violation of [invariant], with a description of what was observed. */
data class InvariantViolation(val invariant: Invariant, val detail: String)

/**
 * Counts violations of invariants.
 *
 * @property onViolation called for each violation; production logs it, tests fail on it
 */
class InvariantMonitor(private val onViolation: (InvariantViolation) -> Unit = {}) {
    private val counts = LongArray(Invariant.entries.size)

    /** Returns the number of violations of [invariant]. */
    fun count(invariant: Invariant): Long = counts[invariant.ordinal]

    /** Number of violations of all invariants. */
    val total: Long get() = counts.sum()

    /** Records a violation of [invariant] unless it [holds]; [detail] is evaluated only then. */
    inline fun check(invariant: Invariant, holds: Boolean, detail: () -> String) {
        if (!holds) {
            record(InvariantViolation(invariant, detail()))
        }
    }

    /** Counts a violation and reports it to [onViolation]. */
    fun record(violation: InvariantViolation) {
        counts[violation.invariant.ordinal]++
        onViolation(violation)
    }
}
