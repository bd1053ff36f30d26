package comfreypath.coordination.overload

import comfreypath.coordination.model.TeamName
import java.time.Duration

private const val SHARE_FACTOR = 2.0
private const val BUSY_QUEUE = 0.34
private const val SPARE_WORK = 0.5
private const val LEAST_RETRY_MILLISECONDS = 100L
private const val LONGEST_RETRY_MILLISECONDS = 3_000L

/**
 * When requests are refused.
 *
 * @property shareFactor the multiple of an equal part of what is in progress above which a team is refused first
 * @property busyQueuePerSlot the waiting requests for each slot that keep slots busy until the next request arrives; a
 * team is refused for its share only beyond them
 * @property holdTimeMargin the part of a request's work that must be left of its caller's patience, since work varies
 * @property minRetryAfter the shortest time after which a refused caller is told to come back
 * @property maxRetryAfter the longest such time
 */
data class OverloadOptions(
    val shareFactor: Double = SHARE_FACTOR,
    val busyQueuePerSlot: Double = BUSY_QUEUE,
    val holdTimeMargin: Double = SPARE_WORK,
    val minRetryAfter: Duration = Duration.ofMillis(LEAST_RETRY_MILLISECONDS),
    val maxRetryAfter: Duration = Duration.ofMillis(LONGEST_RETRY_MILLISECONDS),
)

/**
 * Decides what is refused when every endpoint of a service is full.
 *
 * It answers a surge of one team or of all, and the loss of endpoints at the peak: without it each router sends on
 * what the endpoints only queue, until whole queues are answered after their callers have left. While one endpoint has
 * a free slot nothing is refused. When none has, a request is refused that could not be answered in its caller's
 * patience, or whose team has a multiple of its part while others wait too. A refusal tells when room is expected, and
 * spreads those that come back over the time in which one slot becomes free.
 */
class OverloadPolicy(private val options: OverloadOptions = OverloadOptions()) {
    /** Decides on [request]; [inProgress] holds this router's requests at the service by team. */
    fun admit(
        request: AdmissionRequest,
        endpoints: Sequence<Occupancy>,
        times: ExpectedTimes,
        inProgress: Map<TeamName, Int>,
    ): Admission {
        val holding = times.holdTime
        if (holding == null || endpoints.none() || endpoints.any { it.hasFreeSlot }) {
            return Admission.Admitted
        }
        val wait = endpoints.minOf { it.expectedWait(holding) }
        val spare = Duration.ofMillis((holding.toMillis() * options.holdTimeMargin).toLong())
        val late = wait + (times.responseTime ?: Duration.ZERO) + spare - request.timeLeft
        return when {
            late > Duration.ZERO -> Admission.Refused(RefusalReason.TOO_LATE, retryAfter(late, holding, request))
            endpoints.none(::keepsBusyOnly) && overShare(request.team, inProgress) ->
                Admission.Refused(RefusalReason.OVER_SHARE, retryAfter(wait, holding, request))
            else -> Admission.Admitted
        }
    }

    private fun keepsBusyOnly(endpoint: Occupancy) =
        endpoint.load < endpoint.slots * (1 + options.busyQueuePerSlot)

    private fun overShare(team: TeamName?, inProgress: Map<TeamName, Int>): Boolean {
        val own = inProgress[team] ?: 0
        val equalPart = inProgress.values.sum().toDouble() / inProgress.size.coerceAtLeast(1)
        return inProgress.size > 1 && own + 1 > options.shareFactor * equalPart
    }

    private fun retryAfter(room: Duration, holding: Duration, request: AdmissionRequest): Duration {
        val apart = Duration.ofMillis((holding.toMillis() * request.jitter).toLong())
        return (room + apart).coerceIn(options.minRetryAfter, options.maxRetryAfter)
    }
}

/**
 * How long work is expected to take.
 *
 * @property holdTime how long a request holds a slot; null while that is not known
 * @property responseTime how long the answer, or a stream's first event, takes once a slot is free; null if not known
 */
data class ExpectedTimes(val holdTime: Duration?, val responseTime: Duration?)
