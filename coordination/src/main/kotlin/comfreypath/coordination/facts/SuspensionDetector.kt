package comfreypath.coordination.facts

import java.time.Duration
import java.time.Instant

private const val TOLERANCE_MILLISECONDS = 250L

/**
 * Finds out that the instance was suspended: the steady clock does not count that time, the time of day does.
 *
 * A step of the time of day looks the same. Both mean that ages by the steady clock may be too small, so that facts
 * must be confirmed anew.
 *
 * @property offset the time of day less the steady clock, at the last reading
 */
data class SuspensionDetector(val offset: Duration) {
    /** The detector after a reading of both clocks, and whether they have come apart since the one before. */
    fun compareClocks(steady: Instant, timeOfDay: Instant): Pair<SuspensionDetector, Boolean> {
        val now = Duration.between(steady, timeOfDay)
        val apart = now.minus(offset).abs() > TOLERANCE
        return SuspensionDetector(now) to apart
    }

    private companion object {
        /** More than a clock is corrected by between two readings. */
        val TOLERANCE: Duration = Duration.ofMillis(TOLERANCE_MILLISECONDS)
    }
}
