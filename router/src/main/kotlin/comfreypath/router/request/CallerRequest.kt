package comfreypath.router.request

import comfreypath.coordination.model.RequestId
import comfreypath.coordination.routing.Prompt
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import java.time.Duration
import java.time.Instant

/**
 * A whole request of a caller, in the terms of the decisions.
 *
 * @property id the caller's identity for this attempt of its
 * @property uri the path with its query, as the caller sent it
 * @property forwarded the caller's headers that an endpoint may see
 * @property patience how long the caller waits for the whole answer; null if it does not say
 * @property apiKey identifies the caller's team; null if there is none
 * @property prompt what is asked of a model engine; null for plain services
 * @property resumeAfter the last event that the caller has of a stream that it resumes
 */
class CallerRequest(
    val id: RequestId,
    val host: String,
    val method: HttpMethod,
    val uri: String,
    val forwarded: HttpHeaders,
    val body: ByteArray,
    val patience: Duration?,
    val apiKey: String?,
    val prompt: Prompt?,
    val resumeAfter: Long?,
    val receivedAt: Instant,
) {
    /** The path without its query. */
    val path: String get() = uri.substringBefore('?')
}
