package comfreypath.router.sending

import comfreypath.coordination.verdict.UnknownReason
import comfreypath.transport.AbortReason
import comfreypath.transport.ConnectionPool
import comfreypath.transport.HttpConnection
import comfreypath.transport.ResponsePart
import java.time.Duration
import java.time.Instant

private const val MAX_IDLE_CONNECTIONS = 16
private const val DEFAULT_IDLE_SECONDS = 3L

/** A connection is reused only within this share of the server's idle timeout, or the server may close it first. */
private const val REUSABLE_IDLE_SHARE = 0.66

/** One request and its response on a connection to an endpoint. */
class EndpointExchange(
    private val pool: ConnectionPool,
    private val connection: HttpConnection,
    private val activity: ResponseActivity,
) {
    private var open = true
    private var retired = false

    /** Whether the request is the first one on its connection. */
    val firstOnConnection: Boolean get() = connection.exchanges == 1

    /** The connection, and which request on it this is. */
    val use: ConnectionUse get() = ConnectionUse(connection.localPort, connection.exchanges)

    /** When the request was sent; null once its response has begun. */
    val awaitingSince: Instant? get() = activity.awaitingSince

    /** Waits for the next part of the response. */
    suspend fun next(): ResponsePart {
        activity.recordAwaiting()
        return connection.next().also { if (it !is ResponsePart.Aborted) activity.recordHeard() }
    }

    /** Counts [count] items within the response; many short ones slow the reading down. */
    fun countItems(count: Int) = connection.pacer.count(count)

    /** Lets the connection carry no further request after this one. */
    fun retire() {
        retired = true
    }

    /** Returns the connection to the pool after a complete response. The endpoint closes it after [idleTimeout]. */
    fun complete(idleTimeout: Duration?) {
        if (retired) {
            close()
        } else if (end()) {
            val idleTime = idleTimeout?.let { Duration.ofMillis((it.toMillis() * REUSABLE_IDLE_SHARE).toLong()) }
            pool.release(connection, idleTime ?: Duration.ofSeconds(DEFAULT_IDLE_SECONDS), MAX_IDLE_CONNECTIONS)
        }
    }

    /** Closes the connection, which tells the endpoint that the response is no longer awaited. */
    fun close() {
        if (end()) {
            pool.discard(connection)
        }
    }

    private fun end(): Boolean {
        val ended = open
        open = false
        return ended
    }
}

/** Maps the reason for an aborted response to the reason for an unknown outcome. */
internal fun AbortReason.toUnknownReason(): UnknownReason = when (this) {
    AbortReason.CLOSED, AbortReason.RESET -> UnknownReason.CONNECTION_LOST
    AbortReason.MALFORMED -> UnknownReason.MALFORMED
    AbortReason.FRAMING_TOO_LONG -> UnknownReason.FRAMING_TOO_LONG
    AbortReason.TOO_MANY_INTERIM_RESPONSES -> UnknownReason.TOO_MANY_INTERIM_RESPONSES
    AbortReason.OUT_OF_MEMORY -> UnknownReason.OUT_OF_MEMORY
}
