package comfreypath.transport

import java.time.Duration

private const val DEFAULT_HEADER_BYTES = 16_384
private const val DEFAULT_BODY_BYTES = 1_048_576
private const val DEFAULT_CONNECTIONS = 4_096
private const val DEFAULT_RECEIVE_SECONDS = 10L
private const val DEFAULT_IDLE_SECONDS = 120L

/**
 * Limits of an [HttpServer].
 *
 * @property maxHeaderBytes the most bytes of a request's header lines together
 * @property maxBodyBytes the most bytes of a request's body
 * @property maxConnections the most connections open at once; further ones are closed
 * @property receiveTimeout the longest time from a request's first byte to the end of its headers, and the longest
 * pause between two pieces of its body
 * @property idleTimeout the longest time a connection stays open without a request
 * @property rejectionBody gives the response body for a request that was rejected before it reached the handler
 */
data class HttpServerOptions(
    val maxHeaderBytes: Int = DEFAULT_HEADER_BYTES,
    val maxBodyBytes: Int = DEFAULT_BODY_BYTES,
    val maxConnections: Int = DEFAULT_CONNECTIONS,
    val receiveTimeout: Duration = Duration.ofSeconds(DEFAULT_RECEIVE_SECONDS),
    val idleTimeout: Duration = Duration.ofSeconds(DEFAULT_IDLE_SECONDS),
    val rejectionBody: (HttpRejection) -> ByteArray = { it.name.encodeToByteArray() },
)
