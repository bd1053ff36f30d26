package comfreypath.router.request

import comfreypath.coordination.model.TeamName
import comfreypath.coordination.routing.Route
import comfreypath.router.telemetry.TRACE_PARENT
import comfreypath.transport.BodyMemory
import comfreypath.transport.ExchangeMemory
import comfreypath.transport.ResponseWriter
import java.time.Instant

/**
 * A caller's request on its way through the stages, with the writer for its response.
 *
 * @property memory holds the bodies of the request and of its response
 */
class CallerExchange(
    val request: CallerRequest,
    val writer: ResponseWriter,
    val memory: ExchangeMemory = BodyMemory.unlimited().open(),
) {
    /** The `traceparent` header to pass on with the request; null if there is none. */
    var traceParent: String? = request.forwardedHeaders.get(TRACE_PARENT)

    /** The route of the request; set by [RouteFilter]. */
    lateinit var route: Route

    /** The team that holds the caller's key; null on public routes. */
    var team: TeamName? = null

    /** The priority of the request; 0 is the most urgent. */
    var priority: Int = 0

    /** True once an endpoint was selected for an attempt, so that the request may have run. */
    var offered: Boolean = false

    /** The refusal that the caller received; null if the request was not refused. */
    var refusal: Refusal? = null

    /** When the response, or the first event of a stream, went to the caller; null before that. */
    var firstByteAt: Instant? = null

    /** When the request times out: after the caller's time budget or the route's timeout, whichever is shorter. */
    val deadline: Instant
        get() = request.receivedAt + (request.timeBudget?.coerceAtMost(route.timeout) ?: route.timeout)
}
