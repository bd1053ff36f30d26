package comfreypath.transport

import io.netty.handler.codec.http.HttpMethod
import java.time.Duration

private const val DEFAULT_TIMEOUT_SECONDS = 10L
private const val DEFAULT_MAX_BODY_BYTES = 8 * 1_048_576

/**
 * A request that [HttpClient] sends.
 *
 * @property uri the path and the query string
 * @property freshConnection opens a new connection instead of reusing an idle one, which may be half-open
 * @property headTimeout the maximum time to wait for the head of the response
 * @property chunkTimeout the maximum pause between two chunks of the response body
 * @property maxBodyBytes the maximum length of a response body that is read as a whole
 */
data class OutgoingRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: Map<String, String> = emptyMap(),
    val body: ByteArray = ByteArray(0),
    val freshConnection: Boolean = false,
    val headTimeout: Duration = Duration.ofSeconds(DEFAULT_TIMEOUT_SECONDS),
    val chunkTimeout: Duration = Duration.ofSeconds(DEFAULT_TIMEOUT_SECONDS),
    val maxBodyBytes: Int = DEFAULT_MAX_BODY_BYTES,
)
