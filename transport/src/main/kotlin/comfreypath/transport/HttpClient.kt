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

private const val DEFAULT_CONNECT_MILLISECONDS = 500L
private const val DEFAULT_IDLE_CONNECTIONS = 32
private const val IDLE_SECONDS = 8L

/**
 * A plain HTTP/1.1 client that keeps idle connections.
 *
 * It is confined to [loop]: call it from coroutines on that loop's dispatcher only.
 *
 * @property connectTimeout the longest wait for a connection to open
 * @property maxIdleConnections the most idle connections kept for one address
 */
class HttpClient(
    loop: EventLoop,
    clock: InstantSource = InstantSource.system(),
    private val connectTimeout: Duration = Duration.ofMillis(DEFAULT_CONNECT_MILLISECONDS),
    private val maxIdleConnections: Int = DEFAULT_IDLE_CONNECTIONS,
) {
    private val pool = ConnectionPool(HttpConnector(loop), clock)
    private val rest = Duration.ofSeconds(IDLE_SECONDS)

    /** Sends [request] and waits for the response's status. */
    suspend fun exchange(address: Address, request: OutgoingRequest): Result<HttpExchange, ExchangeFailure> {
        val longestRest = if (request.freshConnection) Duration.ZERO else rest
        return pool.acquire(address, longestRest, connectTimeout)
            .mapError<PooledConnection, ExchangeFailure.ConnectFailed, ExchangeFailure> { it }
            .andThen { exchangeOn(it.connection, request) }
    }

    /** Sends [request] and reads the whole response. */
    suspend fun fetch(address: Address, request: OutgoingRequest): Result<FullResponse, ExchangeFailure> =
        exchange(address, request).andThen { exchange ->
            exchange.body().map { body -> FullResponse(exchange.status, exchange.headers, body) }
        }

    /** Closes the connections that have rested too long. */
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
        var begun = false
        try {
            val part = withTimeoutOrNull(request.headTimeout.toMillis()) { connection.next() }
            begun = part is ResponsePart.Head
            return when (part) {
                null -> Err(ExchangeFailure.TimedOut(sent = true))
                is ResponsePart.Head -> Ok(HttpExchange(part, connection, request, ::end))
                else -> Err(ExchangeFailure.ConnectionLost(sent = true))
            }
        } finally {
            if (!begun) {
                pool.discard(connection)
            }
        }
    }

    private fun end(connection: HttpConnection, whole: Boolean) {
        if (whole) pool.release(connection, rest, maxIdleConnections) else pool.discard(connection)
    }
}
