package comfreypath.router.request

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.RequestId
import comfreypath.coordination.model.TeamName
import comfreypath.coordination.routing.Endpoint
import comfreypath.transport.RequestHead
import io.netty.handler.codec.http.HttpHeaders
import java.time.Duration

/** How requests are put to endpoints and how their answers are read: the adapter of one wire format. */
interface EndpointDialect {
    /** Writes the head of a request for [plan]'s endpoint. */
    fun encode(request: CallerRequest, plan: SendPlan): RequestHead

    /** Reads what the head of an endpoint's answer says. */
    fun read(status: Int, headers: HttpHeaders): EndpointResponseHead

    /** True when an event of a stream belongs to [request]; one that does not is dropped. */
    fun belongsTo(event: StreamEvent, request: CallerRequest): Boolean = true
}

/**
 * What the router adds to a caller's request when it sends it to an endpoint.
 *
 * @property timeLeft how long the endpoint may work on it
 * @property team the team that holds the caller's key; null on public routes
 * @property priority the rank among an engine's requests, 0 being the most urgent; null leaves it to the engine
 * @property lastEventId the last event that the caller has of the stream; null to start from the beginning
 * @property traceParent passes the request's trace on; null if there is none
 * @property cacheSource an engine from which the endpoint is to fetch the cache of the prompt; null if from none
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
 * What the head of an answer says.
 *
 * @property genuine false when it claims a success without the proof that the endpoint gives with one
 * @property requestId whose answer it is; null if it does not say
 * @property notRun true when the endpoint has not run the request and never will
 * @property wrongEndpoint true when another endpoint than the one named has the address
 * @property endpoint the endpoint that answered; null if it does not say
 * @property load how busy the endpoint is; null if it does not say
 * @property idleTimeout how long the endpoint keeps an idle connection open; null if it does not say
 * @property forwardedHeaders the headers that the caller may see
 */
data class EndpointResponseHead(
    val status: Int,
    val genuine: Boolean,
    val requestId: RequestId?,
    val notRun: Boolean,
    val wrongEndpoint: Boolean,
    val endpoint: EndpointName?,
    val load: ReportedLoad?,
    val idleTimeout: Duration?,
    val retryAfter: Duration?,
    val contentLength: Long?,
    val forwardedHeaders: HttpHeaders,
)

/** How busy an endpoint said it was: its requests that run, those that wait, and those that it can run at once. */
data class ReportedLoad(val running: Int, val waiting: Int, val slots: Int)
