package comfreypath.router.request

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.verdict.RetryState
import comfreypath.coordination.verdict.WaitReason
import comfreypath.router.RouterContext
import java.time.Duration
import java.time.Instant

/** Logs, and counts, what happens to one request while it is relayed. */
internal class RelayLog(private val context: RouterContext, private val request: CallerRequest) {
    /** The request stays at a silent endpoint. */
    fun waitingOn(endpoint: EndpointName, reason: WaitReason, silentSince: Instant?) = context.log.record(
        "waiting_on",
        "request" to request.id,
        "endpoint" to endpoint,
        "reason" to reason,
        "silentMs" to silentSince?.let { Duration.between(it, context.now()).toMillis() },
    )

    /** Every endpoint of the service pauses or leaves, so that the request is refused. */
    fun allOut(route: String, out: SelectionResult.AllOut, retryAfter: Duration?) {
        context.metrics.allEndpointsOut.labelValues(route).inc()
        context.log.record(
            "all_endpoints_out",
            "request" to request.id,
            "route" to route,
            "paused" to out.paused,
            "leaving" to out.leaving,
            "firstReturnMs" to out.untilFirstReturn?.toMillis(),
            "retryAfterMs" to retryAfter?.toMillis(),
        )
    }

    /** The request rates of all endpoints that could take the request are used up, so that it is refused. */
    fun allLimited(route: String, limited: SelectionResult.AllLimited, retryAfter: Duration?) {
        context.metrics.allEndpointsLimited.labelValues(route).inc()
        context.log.record(
            "all_endpoints_limited",
            "request" to request.id,
            "route" to route,
            "nextRequestMs" to limited.untilNextRequest.toMillis(),
            "retryAfterMs" to retryAfter?.toMillis(),
        )
    }

    /** An endpoint that had been silent has sent more of the response. */
    fun endpointWentOn(endpoint: EndpointName, silence: Duration) = context.log.record(
        "endpoint_went_on",
        "request" to request.id,
        "endpoint" to endpoint,
        "silentMs" to silence.toMillis(),
    )

    /** The stream that the caller receives ends incomplete; [dropped] is a whole response that can't continue it. */
    fun streamBrokenOff(state: RetryState, lastEventId: Long?, dropped: RelayResult?) = context.log.record(
        "stream_broken_off",
        "request" to request.id,
        "lastEventId" to lastEventId,
        "outcome" to state.lastOutcome,
        "droppedStatus" to (dropped as? RelayResult.Response)?.response?.status,
        "runs" to state.runs,
        "refusals" to state.refusals,
        "timeLeftMs" to Duration.between(context.now(), state.deadline).toMillis(),
    )
}
