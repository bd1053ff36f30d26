package comfreypath.coordination.overload

import comfreypath.coordination.model.TeamName
import java.time.Duration

private const val SHARE_FACTOR = 2.0
private const val BUSY_QUEUE_PER_SLOT = 0.34
private const val HOLD_TIME_MARGIN = 0.5
private const val MIN_RETRY_AFTER_MILLISECONDS = 100L
private const val MAX_RETRY_AFTER_MILLISECONDS = 3_000L

/**
 * Thresholds for refusing requests.
 *
 * @property shareFactor the multiple of an equal share of the requests in progress above which a team is refused
 * @property busyQueuePerSlot the queued requests per slot that keep the slots busy until the next request arrives. A
 * team is refused for its share only if the queues of all endpoints are at least this long.
 * @property holdTimeMargin the fraction of the expected hold time to keep as a margin before the caller's time runs
 * out, since hold times vary
 * @property minRetryAfter the minimum retry-after of a refusal
 * @property maxRetryAfter the maximum retry-after of a refusal
 */
data class OverloadOptions(
    val shareFactor: Double = SHARE_FACTOR,
    val busyQueuePerSlot: Double = BUSY_QUEUE_PER_SLOT,
    val holdTimeMargin: Double = HOLD_TIME_MARGIN,
    val minRetryAfter: Duration = Duration.ofMillis(MIN_RETRY_AFTER_MILLISECONDS),
    val maxRetryAfter: Duration = Duration.ofMillis(MAX_RETRY_AFTER_MILLISECONDS),
)

/**
 * Admission control for services whose endpoints are all full.
 *
 * Handles a surge of one team or of all teams, and the loss of endpoints at peak load. Without it, routers send
 * requests that endpoints only queue, until whole queues are answered after their callers have left.
 *
 * Nothing is refused while any endpoint has a free slot. Otherwise a request is refused if the response could not
 * arrive in the caller's remaining time, or if its team exceeds a multiple of an equal share while other teams have
 * requests too. The retry-after of a refusal is the time until capacity is expected, plus jitter of up to one hold
 * time, so that refused callers do not all return at once.
 */
class OverloadPolicy(private val options: OverloadOptions = OverloadOptions()) {
    /**
     * Decides whether [request] is sent.
     *
     * @param endpoints the endpoints of the service that may receive the request
     * @param inProgress the number of this router's requests at the service, by team
     */
    fun admit(
        request: AdmissionRequest,
        endpoints: Sequence<Occupancy>,
        times: ExpectedTimes,
        inProgress: Map<TeamName, Int>,
    ): Admission {
        val holdTime = times.holdTime
        if (holdTime == null || endpoints.none() || endpoints.any { it.hasFreeSlot }) {
            return Admission.Admitted
        }
        val wait = endpoints.minOf { it.expectedWait(holdTime) }
        val margin = Duration.ofMillis((holdTime.toMillis() * options.holdTimeMargin).toLong())
        val lateBy = wait + (times.responseTime ?: Duration.ZERO) + margin - request.timeLeft
        return when {
            lateBy > Duration.ZERO -> Admission.Refused(RefusalReason.TOO_LATE, retryAfter(lateBy, holdTime, request))
            endpoints.none(::hasShortQueue) && exceedsShare(request.team, inProgress) ->
                Admission.Refused(RefusalReason.OVER_SHARE, retryAfter(wait, holdTime, request))
            else -> Admission.Admitted
        }
    }

    private fun hasShortQueue(endpoint: Occupancy) =
        endpoint.load < endpoint.slots * (1 + options.busyQueuePerSlot)

    private fun exceedsShare(team: TeamName?, inProgress: Map<TeamName, Int>): Boolean {
        val own = inProgress[team] ?: 0
        val equalShare = inProgress.values.sum().toDouble() / inProgress.size.coerceAtLeast(1)
        return inProgress.size > 1 && own + 1 > options.shareFactor * equalShare
    }

    private fun retryAfter(wait: Duration, holdTime: Duration, request: AdmissionRequest): Duration {
        val jitter = Duration.ofMillis((holdTime.toMillis() * request.jitter).toLong())
        return (wait + jitter).coerceIn(options.minRetryAfter, options.maxRetryAfter)
    }
}

/**
 * Expected durations of a request that does not wait for a slot.
 *
 * @property holdTime how long the request holds a slot; null if unknown
 * @property responseTime the time from the start until the response, or the first event of a stream; null if unknown
 */
data class ExpectedTimes(val holdTime: Duration?, val responseTime: Duration?)
