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
 * A whole request of a caller, in the terms of the decisions.
 *
 * @property id the caller's identity for this attempt of its
 * @property address by which the route is found
 * @property uri the path with its query for the endpoint
 * @property forwardedHeaders the caller's headers that an endpoint may see
 * @property timeBudget how long the caller waits for the whole answer; null if it does not say
 * @property apiKey identifies the caller's team; null if there is none
 * @property prompt what is asked of a model engine; null for plain services
 * @property lastEventId the last event that the caller has of a stream that it resumes
 * @property bodyError what is wrong with the request's body, to be told only to a caller whose key is valid
 * @property idempotencyKey names the request across the caller's own retries; null if it must not be kept apart
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
    /** From 0 to 1, different for each request, to keep those apart that are treated alike at one moment. */
    val jitter: Double get() = unitInterval(mix(hashOf(id.text), SPREAD_SALT))

    private companion object {
        const val SPREAD_SALT = 0x737072656164L
    }
}

/** The host and the path, without its query, by which a route is found. */
data class RouteAddress(val host: String, val path: String)
