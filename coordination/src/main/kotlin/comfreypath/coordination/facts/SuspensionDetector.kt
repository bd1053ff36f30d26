package comfreypath.coordination.facts

import java.time.Duration
import java.time.Instant

private const val TOLERANCE_MILLISECONDS = 250L

/**
 * Detects that the instance was suspended: the steady clock stops during a suspension, the wall clock doesn't.
 *
 * A step of the wall clock looks the same. In both cases ages measured by the steady clock may be too small, so values
 * from the store must be confirmed again.
 *
 * @property offset wall clock minus steady clock at the last comparison
 */
data class SuspensionDetector(val offset: Duration) {
    /** Returns the detector for the next comparison, and whether the clocks have diverged since the last one. */
    fun compareClocks(steady: Instant, wallClock: Instant): Pair<SuspensionDetector, Boolean> {
        val newOffset = Duration.between(steady, wallClock)
        val diverged = newOffset.minus(offset).abs() > TOLERANCE
        return SuspensionDetector(newOffset) to diverged
    }

    private companion object {
        /** Larger than the gradual correction of the wall clock between two comparisons. */
        val TOLERANCE: Duration = Duration.ofMillis(TOLERANCE_MILLISECONDS)
    }
}
