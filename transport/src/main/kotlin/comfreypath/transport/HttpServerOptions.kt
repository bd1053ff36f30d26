package comfreypath.transport

import java.time.Duration

private const val DEFAULT_MAX_HEADER_BYTES = 16_384
private const val DEFAULT_MAX_BODY_BYTES = 1_048_576
private const val DEFAULT_MAX_CONNECTIONS = 4_096
private const val DEFAULT_RECEIVE_TIMEOUT_SECONDS = 10L
private const val DEFAULT_IDLE_TIMEOUT_SECONDS = 120L
private const val DEFAULT_WRITE_TIMEOUT_SECONDS = 30L

/**
 * Limits of an [HttpServer].
 *
 * @property maxHeaderBytes the maximum total size of a request's headers
 * @property maxBodyBytes the maximum size of a request's body
 * @property maxConnections the maximum number of open connections; further ones are closed at once
 * @property receiveTimeout the maximum time from a request's first byte to the end of its headers, and the maximum
 * pause between two chunks of its body
 * @property idleTimeout the maximum time that a connection stays open without a request
 * @property writeTimeout the maximum time in which a client reads nothing of a complete response that waits for it
 * @property rejectionBody creates the response body for a request that the server rejects
 */
data class HttpServerOptions(
    val maxHeaderBytes: Int = DEFAULT_MAX_HEADER_BYTES,
    val maxBodyBytes: Int = DEFAULT_MAX_BODY_BYTES,
    val maxConnections: Int = DEFAULT_MAX_CONNECTIONS,
    val receiveTimeout: Duration = Duration.ofSeconds(DEFAULT_RECEIVE_TIMEOUT_SECONDS),
    val idleTimeout: Duration = Duration.ofSeconds(DEFAULT_IDLE_TIMEOUT_SECONDS),
    val writeTimeout: Duration = Duration.ofSeconds(DEFAULT_WRITE_TIMEOUT_SECONDS),
    val rejectionBody: (HttpRejection) -> ByteArray = { it.name.encodeToByteArray() },
)
