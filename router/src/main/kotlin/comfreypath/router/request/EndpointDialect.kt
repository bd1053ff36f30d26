package comfreypath.router.request

import comfreypath.coordination.endpointload.EndpointReport
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.RequestId
import comfreypath.coordination.model.TeamName
import comfreypath.coordination.routing.Endpoint
import comfreypath.transport.RequestHead
import io.netty.handler.codec.http.HttpHeaders
import java.time.Duration

/** Adapter of one wire format that endpoints use: encodes requests and reads the heads of responses. */
interface EndpointDialect : StreamFormat {
    /** Encodes the head of a request to the endpoint in [plan]. */
    fun encode(request: CallerRequest, plan: SendPlan): RequestHead

    /** Reads the head of an endpoint's response. */
    fun read(status: Int, headers: HttpHeaders): EndpointResponseHead
}

/**
 * What the router adds to a caller's request when it sends it to an endpoint.
 *
 * @property timeLeft the time left for the endpoint to respond
 * @property team the team that holds the caller's key; null on public routes
 * @property priority the priority among an engine's requests, 0 being the most urgent; null for the engine's default
 * @property lastEventId the last event of the stream that the caller received; null to start from the beginning
 * @property cacheSource an engine to fetch the prompt's cache from; null if there is none
 * @property traceParent the `traceparent` header to send; null if there is none
 */
data class SendPlan(
    val endpoint: Endpoint,
    val timeLeft: Duration,
    val team: TeamName?,
    val priority: Int?,
    val lastEventId: Long?,
    val cacheSource: Endpoint? = null,
    val traceParent: String? = null,
)

/**
 * The head of an endpoint's response, independent of the wire format.
 *
 * @property genuine false for a success that lacks the signature which endpoints add to every success
 * @property requestId the request that the response belongs to; null if not reported
 * @property notRun true when the endpoint has not run the request and never will
 * @property unmarkedRefusal true for a status that tells callers "not run" without [notRun]
 * @property wrongEndpoint true when another endpoint than the requested one uses the address now
 * @property endpoint the endpoint that responded; null if not reported
 * @property load the load of the endpoint, and how long work takes there; null if not reported
 * @property unreadableLoad the text of a load of which some figure is not usable; null if there is none
 * @property idleTimeout how long the endpoint keeps an idle connection open; null if not reported
 * @property leaving true when the endpoint announces that it leaves
 * @property pause how long the endpoint, which refuses the request, asks for no others; null if it does not
 * @property unreadablePause the text in place of a pause that is no usable time; null if there is none
 * @property rateLimit the requests per second that the endpoint takes from all routers; null if it names none
 * @property unreadableRateLimit the text in place of a rate that is no usable number; null if there is none
 * @property forwardedHeaders the headers that are passed on to the caller
 */
data class EndpointResponseHead(
    val status: Int,
    val genuine: Boolean,
    val requestId: RequestId?,
    val notRun: Boolean,
    val wrongEndpoint: Boolean,
    val endpoint: EndpointName?,
    val load: EndpointReport?,
    val idleTimeout: Duration?,
    val retryAfter: Duration?,
    val contentLength: Long?,
    val forwardedHeaders: HttpHeaders,
    val leaving: Boolean = false,
    val pause: Duration? = null,
    val unreadablePause: String? = null,
    val unmarkedRefusal: Boolean = false,
    val rateLimit: Double? = null,
    val unreadableRateLimit: String? = null,
    val unreadableLoad: String? = null,
) {
    /** True if [sender] has sent this head in response to [request], and not a copy or another endpoint's. */
    fun isFrom(sender: Endpoint, request: RequestId): Boolean =
        requestId == request && genuine && !wrongEndpoint && (endpoint == null || endpoint == sender.name)
}
