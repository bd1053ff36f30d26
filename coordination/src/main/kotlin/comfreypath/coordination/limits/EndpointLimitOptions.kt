package comfreypath.coordination.limits

import java.time.Duration

private const val MIN_RATE_PER_SECOND = 0.1
private const val MAX_RATE_PER_SECOND = 1e6
private const val SENDERS_PER_RATE = 0.6
private const val MIN_SENDERS = 3
private const val TRIAL_SHARE = 0.1
private const val TRIAL_WINDOW_MILLISECONDS = 2_000L
private const val MIN_REPORTED_CHANGE = 0.2
private const val ABSENT_RETENTION_SECONDS = 600L
private const val MAX_LIMITS = 4_096

/**
 * How the request rates that endpoints name are shared and kept.
 *
 * @property minRate the lowest rate per second that routers share, so that they notice the end of a limit of 0
 * @property maxRate the highest rate per second that is told apart
 * @property minSenders the number of routers that share even the lowest rate
 * @property sendersPerRate the number of further routers for each request per second of the rate
 * @property trialShare the fraction of the rate that is left to the trials of all other routers
 * @property trialWindow the time in which a router may make a trial once it is due
 * @property minReportedChange a change of the rate by a smaller fraction is not reported
 * @property absentRetention how long a limit is kept for an incarnation without an entry, in case the entry returns
 * @property maxLimits the maximum number of incarnations with a limit
 */
data class EndpointLimitOptions(
    val minRate: Double = MIN_RATE_PER_SECOND,
    val maxRate: Double = MAX_RATE_PER_SECOND,
    val minSenders: Int = MIN_SENDERS,
    val sendersPerRate: Double = SENDERS_PER_RATE,
    val trialShare: Double = TRIAL_SHARE,
    val trialWindow: Duration = Duration.ofMillis(TRIAL_WINDOW_MILLISECONDS),
    val minReportedChange: Double = MIN_REPORTED_CHANGE,
    val absentRetention: Duration = Duration.ofSeconds(ABSENT_RETENTION_SECONDS),
    val maxLimits: Int = MAX_LIMITS,
)
