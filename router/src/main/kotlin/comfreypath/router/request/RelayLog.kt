package comfreypath.router.request

import comfreypath.coordination.verdict.RetryState
import comfreypath.router.RouterContext
import java.time.Duration

/** Logs what happens to the response of one request while it is relayed. */
internal class RelayLog(private val context: RouterContext, private val request: CallerRequest) {
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
