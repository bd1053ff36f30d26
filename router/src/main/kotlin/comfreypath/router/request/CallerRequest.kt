package comfreypath.router.request

import comfreypath.coordination.model.RequestId
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import comfreypath.coordination.placement.unitInterval
import comfreypath.coordination.routing.Prompt
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import java.time.Duration
import java.time.Instant

/**
 * A complete request of a caller, independent of the wire format.
 *
 * @property id identifies this attempt of the caller
 * @property address the host and path that select the route
 * @property uri the path and query to send to the endpoint
 * @property forwardedHeaders the caller's headers that are passed on to endpoints
 * @property timeBudget how long the caller waits for the whole response; null if not specified
 * @property apiKey identifies the caller's team; null if there is none
 * @property prompt the prompt for a model engine; null for plain services
 * @property lastEventId the last event that the caller received of a stream that it resumes; null for a new stream
 * @property bodyError why the request's body can't be read; reported only to callers with a valid key
 * @property idempotencyKey identifies the request across the caller's own retries; null if there is none
 */
data class CallerRequest(
    val id: RequestId,
    val address: RouteAddress,
    val method: HttpMethod,
    val uri: String,
    val forwardedHeaders: HttpHeaders,
    val body: ByteArray,
    val timeBudget: Duration?,
    val apiKey: String?,
    val prompt: Prompt?,
    val lastEventId: Long?,
    val receivedAt: Instant,
    val idempotencyKey: String? = null,
    val bodyError: Refusal? = null,
) {
    /** From 0 to 1, different for each request, so that requests refused at the same time are not retried at once. */
    val jitter: Double get() = unitInterval(mix(hashOf(id.text), JITTER_SALT))

    private companion object {
        const val JITTER_SALT = 0x737072656164L
    }
}

/** The host and the path, without the query, that select a route. */
data class RouteAddress(val host: String, val path: String)
