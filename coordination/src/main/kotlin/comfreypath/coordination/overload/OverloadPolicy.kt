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
 * @property busyQueue the waiting requests for each slot that keep slots busy until the next request arrives; a team
 * is refused for its share only beyond them
 * @property spareWork the part of a request's work that must be left of its caller's patience, since work varies
 * @property leastRetry the shortest time after which a refused caller is told to come back
 * @property longestRetry the longest such time
 */
data class OverloadOptions(
    val shareFactor: Double = SHARE_FACTOR,
    val busyQueue: Double = BUSY_QUEUE,
    val spareWork: Double = SPARE_WORK,
    val leastRetry: Duration = Duration.ofMillis(LEAST_RETRY_MILLISECONDS),
    val longestRetry: Duration = Duration.ofMillis(LONGEST_RETRY_MILLISECONDS),
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
        request: WaitingRequest,
        endpoints: Sequence<Occupancy>,
        times: ExpectedTimes,
        inProgress: Map<TeamName, Int>,
    ): Admission {
        val holding = times.holding
        if (holding == null || endpoints.none() || endpoints.any { it.free }) {
            return Admission.Admitted
        }
        val wait = endpoints.minOf { it.expectedWait(holding) }
        val spare = Duration.ofMillis((holding.toMillis() * options.spareWork).toLong())
        val late = wait + (times.answering ?: Duration.ZERO) + spare - request.patience
        return when {
            late > Duration.ZERO -> Admission.Refused(RefusalReason.TOO_LATE, retryAfter(late, holding, request))
            endpoints.none(::keepsBusyOnly) && overShare(request.team, inProgress) ->
                Admission.Refused(RefusalReason.OVER_SHARE, retryAfter(wait, holding, request))
            else -> Admission.Admitted
        }
    }

    private fun keepsBusyOnly(endpoint: Occupancy) =
        endpoint.load < endpoint.slots * (1 + options.busyQueue)

    private fun overShare(team: TeamName?, inProgress: Map<TeamName, Int>): Boolean {
        val own = inProgress[team] ?: 0
        val equalPart = inProgress.values.sum().toDouble() / inProgress.size.coerceAtLeast(1)
        return inProgress.size > 1 && own + 1 > options.shareFactor * equalPart
    }

    private fun retryAfter(room: Duration, holding: Duration, request: WaitingRequest): Duration {
        val apart = Duration.ofMillis((holding.toMillis() * request.spread).toLong())
        return (room + apart).coerceIn(options.leastRetry, options.longestRetry)
    }
}

/**
 * How long work is expected to take.
 *
 * @property holding how long a request holds a slot; null while that is not known
 * @property answering how long the answer, or a stream's first event, takes once a slot is free; null if not known
 */
data class ExpectedTimes(val holding: Duration?, val answering: Duration?)
