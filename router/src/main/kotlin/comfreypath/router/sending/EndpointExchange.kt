package comfreypath.router.sending

import comfreypath.coordination.verdict.UnknownReason
import comfreypath.transport.AbortReason
import comfreypath.transport.ConnectionPool
import comfreypath.transport.HttpConnection
import comfreypath.transport.ResponsePart
import java.time.Duration

private const val IDLE_CONNECTIONS = 16
private const val DEFAULT_REST_SECONDS = 3L

/** A server closes an idle connection after its timeout; a connection is reused for this part of it only. */
private const val USED_REST_SHARE = 0.66

/** One request at an endpoint, from its sending to the end of its answer. */
class EndpointExchange(private val pool: ConnectionPool, private val connection: HttpConnection) {
    private var open = true

    /** Waits for the next part of the answer. */
    suspend fun next(): ResponsePart = connection.next()

    /** Gives the connection back after a whole answer; the endpoint keeps it open for [idleTimeout]. */
    fun complete(idleTimeout: Duration?) {
        if (end()) {
            val rest = idleTimeout?.let { Duration.ofMillis((it.toMillis() * USED_REST_SHARE).toLong()) }
            pool.release(connection, rest ?: Duration.ofSeconds(DEFAULT_REST_SECONDS), IDLE_CONNECTIONS)
        }
    }

    /** Closes the connection, which tells the endpoint that nobody waits for the answer. */
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

/** Why the outcome is unknown when the connection broke for this reason. */
internal fun AbortReason.toUnknownReason(): UnknownReason = when (this) {
    AbortReason.CLOSED, AbortReason.RESET -> UnknownReason.CONNECTION_LOST
    AbortReason.MALFORMED -> UnknownReason.MALFORMED
}
