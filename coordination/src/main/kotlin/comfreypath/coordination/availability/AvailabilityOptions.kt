package comfreypath.coordination.availability

import java.time.Duration

private const val RECOVERY_STEP_MILLISECONDS = 250L
private const val RECOVERY_STEPS = 4
private const val MAX_PAUSE_DAYS = 3_650L
private const val MIN_REPORTED_EXTENSION_MILLISECONDS = 500L
private const val ABSENT_RETENTION_SECONDS = 600L
private const val MAX_ANNOUNCEMENTS = 4_096

/**
 * How announcements of endpoints are kept.
 *
 * @property recoveryStep the time after which the limit on requests in flight doubles after a pause; it starts at 1
 * @property recoverySteps the number of steps after which the limit ends
 * @property maxPause the maximum length of a pause, so that its end can be represented
 * @property minReportedExtension a pause that is extended by less than this is not reported as a change
 * @property absentRetention how long an announcement is kept for an incarnation without an entry, in case the entry
 * returns. Without a start time an entry that returns can't be told from one of a new start, and nothing is kept.
 * @property maxAnnouncements the maximum number of incarnations with an announcement
 */
data class AvailabilityOptions(
    val recoveryStep: Duration = Duration.ofMillis(RECOVERY_STEP_MILLISECONDS),
    val recoverySteps: Int = RECOVERY_STEPS,
    val maxPause: Duration = Duration.ofDays(MAX_PAUSE_DAYS),
    val minReportedExtension: Duration = Duration.ofMillis(MIN_REPORTED_EXTENSION_MILLISECONDS),
    val absentRetention: Duration = Duration.ofSeconds(ABSENT_RETENTION_SECONDS),
    val maxAnnouncements: Int = MAX_ANNOUNCEMENTS,
) {
    /** The time after a pause in which requests are limited. */
    val recoveryTime: Duration get() = recoveryStep.multipliedBy(recoverySteps.toLong())
}
