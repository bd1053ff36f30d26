package comfreypath.router.request

import comfreypath.coordination.model.TeamName
import comfreypath.coordination.routing.Route
import comfreypath.router.telemetry.TRACE_PARENT
import comfreypath.transport.ResponseWriter
import java.time.Instant

/** A caller's request on its way through the filters, and where its answer goes. */
class CallerExchange(val request: CallerRequest, val writer: ResponseWriter) {
    /** The header that passes the request's trace on; null if there is none. */
    var traceParent: String? = request.forwardedHeaders.get(TRACE_PARENT)

    /** The route that the request takes. */
    lateinit var route: Route

    /** The team that holds the caller's key; null on public routes. */
    var team: TeamName? = null

    /** The rank of the request among others; 0 is the most urgent. */
    var priority: Int = 0

    /** What the caller was refused; null if it was not. */
    var refusal: Refusal? = null

    /** When the answer, or the first event of a stream, went to the caller; null before that. */
    var firstByteAt: Instant? = null

    /** When the caller or the operator's timeout ends the wait. */
    val deadline: Instant
        get() = request.receivedAt + (request.timeBudget?.coerceAtMost(route.timeout) ?: route.timeout)
}
