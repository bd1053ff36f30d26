package comfreypath.coordination.invariant

/** An invariant that did not hold, and what was seen. */
data class InvariantViolation(val invariant: Invariant, val detail: String)

/**
 * Counts the invariants that did not hold, and reports each violation.
 *
 * @property onViolation called for each violation; production logs it, tests fail on it
 */
class InvariantMonitor(private val onViolation: (InvariantViolation) -> Unit = {}) {
    private val counts = LongArray(Invariant.entries.size)

    /** The number of violations of [invariant]. */
    fun count(invariant: Invariant): Long = counts[invariant.ordinal]

    /** The number of violations of all invariants. */
    val total: Long get() = counts.sum()

    /** Reports a violation of [invariant] unless it [holds]. */
    inline fun check(invariant: Invariant, holds: Boolean, detail: () -> String) {
        if (!holds) {
            record(InvariantViolation(invariant, detail()))
        }
    }

    /** Counts and reports a violation. */
    fun record(violation: InvariantViolation) {
        counts[violation.invariant.ordinal]++
        onViolation(violation)
    }
}
