package comfreypath.coordination.evidence

import java.time.Duration

private const val MOMENTS_TO_HOLD_REPEATS = 2
private const val MOMENTS_TO_QUARANTINE = 3
private const val CRASHES_TO_QUARANTINE = 5
private const val SETTLING_MILLISECONDS = 400L
private const val SAME_MOMENT_MILLISECONDS = 100L
private const val SAME_CRASH_SECONDS = 2L
private const val CRASH_TTL_MINUTES = 10L
private const val CLEARANCE_SECONDS = 10L
private const val FIRST_TRIAL_SECONDS = 2L
private const val SECOND_TRIAL_MINUTES = 10L
private const val TRIAL_FACTOR = 6L
private const val MAX_TRIAL_HOURS = 24L
private const val TRIAL_TIMEOUT_SECONDS = 3L
private const val OWNER_ROTATION_SECONDS = 30L
private const val MAX_PARTS = 256
private const val MAX_CRASHES = 8
private const val MAX_REPORTS = 20
private const val MAX_REPORT_BYTES = 1_000
private const val MAX_REPORTED_CRASHES = 5
private const val ANSWERS_GENERATION = 4_096

/**
 * Limits and times of [PartEvidence].
 *
 * @property momentsToHoldRepeats number of crash moments from which a request with the part is not repeated
 * @property momentsToQuarantine number of crash moments from which no request with the part is sent
 * @property crashesToQuarantine number of crashes from which two moments are enough
 * @property settling time from the last of these crashes until the quarantine, in which peers' reports of it arrive
 * @property sameMoment crashes within this time count as one moment, since they probably have another common cause
 * @property sameCrash sightings of a crash of one endpoint by several routers differ by at most this time
 * @property crashTtl time after which a crash no longer counts against a part that is not quarantined
 * @property clearance time for which peers are told that a part is no longer suspected
 * @property firstTrial duration of a quarantine until its first trial, short since the part may be a shared, sound one
 * @property secondTrial time from the first trial to the second
 * @property trialFactor factor by which the time until each further trial is longer
 * @property maxTrial maximum duration of a quarantine
 * @property trialTimeout time after which a trial without an outcome may be repeated
 * @property ownerRotation time after which another router may make the trial
 * @property maxParts maximum number of parts to keep
 * @property maxCrashes maximum number of crashes to keep for each part
 * @property maxReports maximum number of reports in a status message
 * @property maxReportBytes maximum size of the reports in a status message, which should fit one packet
 * @property maxReportedCrashes maximum number of crashes in a report
 * @property answersGeneration maximum number of parts in each generation of [RecentAnswers]
 */
data class PartEvidenceOptions(
    val momentsToHoldRepeats: Int = MOMENTS_TO_HOLD_REPEATS,
    val momentsToQuarantine: Int = MOMENTS_TO_QUARANTINE,
    val crashesToQuarantine: Int = CRASHES_TO_QUARANTINE,
    val settling: Duration = Duration.ofMillis(SETTLING_MILLISECONDS),
    val sameMoment: Duration = Duration.ofMillis(SAME_MOMENT_MILLISECONDS),
    val sameCrash: Duration = Duration.ofSeconds(SAME_CRASH_SECONDS),
    val crashTtl: Duration = Duration.ofMinutes(CRASH_TTL_MINUTES),
    val clearance: Duration = Duration.ofSeconds(CLEARANCE_SECONDS),
    val firstTrial: Duration = Duration.ofSeconds(FIRST_TRIAL_SECONDS),
    val secondTrial: Duration = Duration.ofMinutes(SECOND_TRIAL_MINUTES),
    val trialFactor: Long = TRIAL_FACTOR,
    val maxTrial: Duration = Duration.ofHours(MAX_TRIAL_HOURS),
    val trialTimeout: Duration = Duration.ofSeconds(TRIAL_TIMEOUT_SECONDS),
    val ownerRotation: Duration = Duration.ofSeconds(OWNER_ROTATION_SECONDS),
    val maxParts: Int = MAX_PARTS,
    val maxCrashes: Int = MAX_CRASHES,
    val maxReports: Int = MAX_REPORTS,
    val maxReportBytes: Int = MAX_REPORT_BYTES,
    val maxReportedCrashes: Int = MAX_REPORTED_CRASHES,
    val answersGeneration: Int = ANSWERS_GENERATION,
) {
    /** The crash from which [crashes], ordered by time, suffice for a quarantine; null if they do not. */
    internal fun decisive(crashes: List<Crash>): Crash? {
        val moments = crashes.moments(sameMoment)
        val byMoments = moments.getOrNull(momentsToQuarantine - 1)
        val byCrashes = crashes.getOrNull(crashesToQuarantine - 1)?.takeIf { moments.size >= momentsToHoldRepeats }
        return listOfNotNull(byMoments, byCrashes).minByOrNull { it.at }
    }

    /** The time until the next trial of a part after this number of failed ones. */
    fun timeUntilTrial(failures: Int): Duration {
        val later = generateSequence(secondTrial) { minOf(it.multipliedBy(trialFactor), maxTrial) }
        return if (failures == 0) firstTrial else later.elementAt(failures - 1)
    }
}
