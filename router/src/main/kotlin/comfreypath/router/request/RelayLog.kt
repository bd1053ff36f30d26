package comfreypath.router.request

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.verdict.AttemptOutcome
import comfreypath.coordination.verdict.RetryState
import comfreypath.coordination.verdict.WaitReason
import comfreypath.router.RouterContext
import comfreypath.router.sending.ConnectionUse
import java.time.Duration
import java.time.Instant
import java.util.Locale
import kotlin.math.roundToInt

private const val HEX_RADIX = 16

/**
 * An attempt that has ended, for the log.
 *
 * @property connection the connection that it used; null if it had none
 * @property action the name of the decision that follows
 * @property lastEventId the last event of the stream that the caller received; null if there is none
 */
internal class EndedAttempt(
    val selection: Selection,
    val connection: ConnectionUse?,
    val outcome: AttemptOutcome,
    val action: String,
    val lastEventId: Long?,
)

/** Logs, and counts, what happens to one request while it is relayed. */
internal class RelayLog(private val context: RouterContext, private val request: CallerRequest) {
    /** An attempt of [exchange] has ended. */
    fun attemptEnded(exchange: CallerExchange, ended: EndedAttempt) = ended.selection.let { selection ->
        context.log.record(
            "attempt",
            "request" to request.id,
            "route" to exchange.route.name,
            "team" to exchange.team,
            "endpoint" to selection.endpoint.name,
            "version" to selection.endpoint.version,
            "load" to selection.load,
            "expectedLoad" to selection.expectedLoad.roundToInt(),
            "pace" to selection.pace?.let { "%.2f".format(Locale.ROOT, it) },
            "loadsAgeMs" to selection.basis.loadsAge.toMillis(),
            "candidates" to selection.basis.candidates,
            "endpointsAgeMs" to selection.basis.endpointsAge?.toMillis(),
            "configuration" to selection.basis.configuration,
            "configurationAgeMs" to selection.basis.configurationAge?.toMillis(),
            "sharedPrefix" to request.sharedPrefixId?.toULong()?.toString(HEX_RADIX),
            "cacheSource" to selection.cacheSource?.name,
            "connectionPort" to ended.connection?.localPort,
            "connectionRequests" to ended.connection?.requestNumber,
            "outcome" to ended.outcome,
            "action" to ended.action,
            "firstMs" to exchange.firstByteAt?.let { Duration.between(request.receivedAt, it).toMillis() },
            "events" to ended.lastEventId,
            "elapsedMs" to Duration.between(request.receivedAt, context.now()).toMillis(),
        )
    }

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
