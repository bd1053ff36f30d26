package comfreypath.coordination.endpointload

import comfreypath.coordination.placement.LoadEstimate
import comfreypath.coordination.placement.LoadProjection
import comfreypath.coordination.placement.ReportedLoad
import java.time.Duration
import java.time.Instant

/** Requests by which an estimate may be wrong even if no request is unreported. */
private const val BASE_UNCERTAINTY = 1.0

/** The age, in hold times, beyond which the endpoint's own count says nothing of its requests now. */
private const val MAX_AGE_IN_HOLD_TIMES = 3.0

/**
 * The requests at an endpoint when it last responded to this router.
 *
 * @property others requests of the other routers
 * @property at when the response arrived
 */
data class EndpointRoom(val others: Int, val at: Instant) {
    companion object {
        /** Reads [report], which arrived at [now] while this router had [own] requests at the endpoint. */
        fun of(report: EndpointReport, own: Int, now: Instant): EndpointRoom =
            EndpointRoom((report.running.toLong() + report.waiting - own).coerceIn(0, MAX_OTHERS).toInt(), now)

        /** The room of an endpoint with [slots] that has refused a request as full and told no load. */
        fun full(slots: Int, own: Int, now: Instant): EndpointRoom = EndpointRoom((slots - own).coerceAtLeast(0), now)

        /** Larger counts are implausible. */
        private const val MAX_OTHERS = 100_000L
    }
}

/**
 * Joins what an endpoint has told of its load with what routers have told each other.
 *
 * Load pattern: routers hear from each other about once a second, and from an endpoint with each of its responses, of
 * which each router gets a few. An endpoint that tells of room tells it to all whom it answers. Its report is therefore
 * projected to this moment like those of the routers: what the others have probably sent since is added. The two
 * estimates are weighed by the requests that neither has shown yet.
 */
object RoomEstimator {
    /** True if [room] still says something at [now] of requests that take [holdTime]; false if that is not known. */
    fun isRecent(room: EndpointRoom, holdTime: Duration?, now: Instant): Boolean {
        val hold = holdTime?.toMillis() ?: 0
        return Duration.between(room.at, now).toMillis() < hold * MAX_AGE_IN_HOLD_TIMES
    }

    /**
     * The estimate at [now] by [room] and by [load], which the routers have reported.
     *
     * @param projection projects reports of the routers to [now]
     */
    fun join(room: EndpointRoom, load: ReportedLoad, projection: LoadProjection, now: Instant): LoadEstimate {
        val reported = projection.of(load)
        val told = projection.of(
            load.copy(atPeers = room.others),
            age = Duration.between(room.at, now).coerceAtLeast(Duration.ZERO),
        )
        val share = (BASE_UNCERTAINTY + reported.unreported) /
            (2 * BASE_UNCERTAINTY + reported.unreported + told.unreported)
        return LoadEstimate(
            expected = share * told.expected + (1 - share) * reported.expected,
            unreported = share * told.unreported + (1 - share) * reported.unreported,
        )
    }
}
