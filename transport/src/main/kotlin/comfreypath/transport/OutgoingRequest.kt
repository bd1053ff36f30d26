package comfreypath.transport

import io.netty.handler.codec.http.HttpMethod
import java.time.Duration

private const val DEFAULT_TIMEOUT_SECONDS = 10L

/**
 * A request to send.
 *
 * @property freshConnection opens a new connection instead of taking an idle one, which may have gone silent
 * @property headTimeout the longest wait for the response's status line
 * @property chunkTimeout the longest silence between two pieces of the response's body
 */
data class OutgoingRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: Map<String, String> = emptyMap(),
    val body: ByteArray = ByteArray(0),
    val freshConnection: Boolean = false,
    val headTimeout: Duration = Duration.ofSeconds(DEFAULT_TIMEOUT_SECONDS),
    val chunkTimeout: Duration = Duration.ofSeconds(DEFAULT_TIMEOUT_SECONDS),
)
