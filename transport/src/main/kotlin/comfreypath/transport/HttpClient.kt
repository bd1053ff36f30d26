package comfreypath.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration
import java.time.InstantSource

private const val DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 500L
private const val DEFAULT_MAX_IDLE_CONNECTIONS = 32
private const val IDLE_TIMEOUT_SECONDS = 8L

/**
 * An HTTP/1.1 client without TLS that reuses idle connections.
 *
 * Confined to [loop]: call it only from coroutines on that loop's dispatcher.
 *
 * @property connectTimeout the maximum time to wait for a connection to open
 * @property maxIdleConnections the maximum number of idle connections kept per address
 */
class HttpClient(
    loop: EventLoop,
    clock: InstantSource = InstantSource.system(),
    private val connectTimeout: Duration = Duration.ofMillis(DEFAULT_CONNECT_TIMEOUT_MILLISECONDS),
    private val maxIdleConnections: Int = DEFAULT_MAX_IDLE_CONNECTIONS,
) {
    private val pool = ConnectionPool(HttpConnector(loop), clock)
    private val idleTimeout = Duration.ofSeconds(IDLE_TIMEOUT_SECONDS)

    /** Sends [request] and waits for the head of the response. */
    suspend fun exchange(address: Address, request: OutgoingRequest): Result<HttpExchange, ExchangeFailure> {
        val maxIdleTime = if (request.freshConnection) Duration.ZERO else idleTimeout
        return pool.acquire(address, maxIdleTime, connectTimeout)
            .mapError<PooledConnection, ExchangeFailure.ConnectFailed, ExchangeFailure> { it }
            .andThen { exchangeOn(it.connection, request) }
    }

    /** Sends [request] and reads the complete response. */
    suspend fun fetch(address: Address, request: OutgoingRequest): Result<ClientResponse, ExchangeFailure> =
        exchange(address, request).andThen { exchange ->
            exchange.body().map { body -> ClientResponse(exchange.status, exchange.headers, body) }
        }

    /** Closes the idle connections that have expired or that the server has closed. */
    fun sweep() = pool.sweep()

    private suspend fun exchangeOn(
        connection: HttpConnection,
        request: OutgoingRequest,
    ): Result<HttpExchange, ExchangeFailure> {
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.HOST, connection.address.toString())
        request.headers.forEach { (name, value) -> headers.set(name, value) }
        if (!connection.send(RequestHead(request.method, request.uri, headers), request.body)) {
            pool.discard(connection)
            return Err(ExchangeFailure.ConnectionLost(sent = false))
        }
        var headReceived = false
        try {
            val part = withTimeoutOrNull(request.headTimeout.toMillis()) { connection.next() }
            headReceived = part is ResponsePart.Head
            // The others may have gone silent with it; each would cost a request its timeout.
            if (part == null) pool.closeIdle(connection.address)
            return when (part) {
                null -> Err(ExchangeFailure.TimedOut(sent = true))
                is ResponsePart.Head -> Ok(HttpExchange(part, connection, request, ::release))
                else -> Err(ExchangeFailure.ConnectionLost(sent = true))
            }
        } finally {
            if (!headReceived) {
                pool.discard(connection)
            }
        }
    }

    private fun release(connection: HttpConnection, complete: Boolean) {
        if (complete) pool.release(connection, idleTimeout, maxIdleConnections) else pool.discard(connection)
    }
}
