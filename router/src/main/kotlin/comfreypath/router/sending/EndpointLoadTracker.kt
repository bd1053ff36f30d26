package comfreypath.router.sending

import comfreypath.coordination.availability.incarnation
import comfreypath.coordination.endpointload.EndpointReport
import comfreypath.coordination.endpointload.EndpointRoom
import comfreypath.coordination.endpointload.PaceEstimator
import comfreypath.coordination.endpointload.ToldLoad
import comfreypath.coordination.model.RequestId
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.RouterContext
import comfreypath.router.request.EndpointResponseHead
import io.netty.handler.codec.http.HttpResponseStatus

/** Keeps what endpoints tell in their responses of their load and of how long work takes there. */
class EndpointLoadTracker(private val context: RouterContext) {
    private val unreadable = UnreadableAnnouncements(context, "load")

    /**
     * Learns from [head], which [endpoint] has sent in response to [request], and records it in [entry]. A head that
     * does not name the request, or that another endpoint has sent, says nothing.
     */
    fun observe(endpoint: Endpoint, entry: EndpointEntry, head: EndpointResponseHead, request: RequestId) {
        val concerned = head.load != null || head.unreadableLoad != null || entry.told != null
        if (!concerned || !head.isFrom(endpoint, request)) return
        head.unreadableLoad?.let { unreadable.record(endpoint.name, it, request) }
        val known = entry.told?.takeIf { it.incarnation == endpoint.incarnation }
        val report = head.load
        val told = if (report?.pace == null) {
            known
        } else {
            observed(known ?: ToldLoad(endpoint.incarnation), report, entry)
        }
        entry.told = if (told != null && head.refusesAsFull) refused(told, endpoint, entry) else told
    }

    private fun observed(known: ToldLoad, report: EndpointReport, entry: EndpointEntry): ToldLoad {
        val pace = report.pace ?: return known
        val now = context.now()
        if (PaceEstimator.jumps(known.pace, pace, now)) context.metrics.announcements.labelValues("pace_jump").inc()
        return known.copy(
            pace = PaceEstimator.observed(known.pace, pace, now),
            room = EndpointRoom.of(report, entry.inFlight, now),
        )
    }

    /** The endpoint is full, even if it tells of room; the refused request is not there. */
    private fun refused(told: ToldLoad, endpoint: Endpoint, entry: EndpointEntry): ToldLoad {
        val full = EndpointRoom.full(endpoint.slots, entry.inFlight - 1, context.now())
        val others = maxOf(full.others, told.room?.takeIf { it.at == full.at }?.others ?: 0)
        return told.copy(room = full.copy(others = others))
    }

    /** Drops what is no longer needed. */
    fun sweep() = unreadable.sweep()
}

private val EndpointResponseHead.refusesAsFull: Boolean
    get() = notRun && pause == null && status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
