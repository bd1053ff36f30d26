package comfreypath.coordination.availability

import java.time.Duration

private const val RECOVERY_STEP_MILLISECONDS = 250L
private const val RECOVERY_STEPS = 16
private const val INITIAL_LOAD_PER_SLOT = 1.0
private const val LOAD_PER_SLOT_INCREMENT = 0.5
private const val MAX_LOAD_PER_SLOT = 3.0
private const val MAX_PAUSE_DAYS = 3_650L
private const val MIN_REPORTED_EXTENSION_MILLISECONDS = 500L
private const val ABSENT_RETENTION_SECONDS = 600L
private const val MAX_ANNOUNCEMENTS = 4_096

/**
 * How announcements of endpoints are kept.
 *
 * @property recoveryStep the time after which the limit on requests in flight rises after a pause
 * @property recoverySteps the number of steps after which the limit ends. It outlasts the reports of loads that were
 * low while the endpoint paused, so that routers do not all prefer it once the limit has ended.
 * @property initialLoadPerSlot the limit in the first step, for all routers together and for each slot of the endpoint
 * @property loadPerSlotIncrement how much the limit rises with each step
 * @property maxLoadPerSlot the limit above which it does not rise
 * @property maxPause the maximum length of a pause, so that its end can be represented
 * @property minReportedExtension a pause that is extended by less than this is not reported as a change
 * @property absentRetention how long an announcement is kept for an incarnation without an entry, in case the entry
 * returns. Without a start time an entry that returns can't be told from one of a new start, and nothing is kept.
 * @property maxAnnouncements the maximum number of incarnations with an announcement
 */
data class AvailabilityOptions(
    val recoveryStep: Duration = Duration.ofMillis(RECOVERY_STEP_MILLISECONDS),
    val recoverySteps: Int = RECOVERY_STEPS,
    val initialLoadPerSlot: Double = INITIAL_LOAD_PER_SLOT,
    val loadPerSlotIncrement: Double = LOAD_PER_SLOT_INCREMENT,
    val maxLoadPerSlot: Double = MAX_LOAD_PER_SLOT,
    val maxPause: Duration = Duration.ofDays(MAX_PAUSE_DAYS),
    val minReportedExtension: Duration = Duration.ofMillis(MIN_REPORTED_EXTENSION_MILLISECONDS),
    val absentRetention: Duration = Duration.ofSeconds(ABSENT_RETENTION_SECONDS),
    val maxAnnouncements: Int = MAX_ANNOUNCEMENTS,
) {
    /** The time after a pause in which requests are limited. */
    val recoveryTime: Duration get() = recoveryStep.multipliedBy(recoverySteps.toLong())
}
