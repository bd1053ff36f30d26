package comfreypath.transport

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import java.time.Duration
import java.time.Instant
import java.time.InstantSource

/** A connection acquired from a pool; [reused] is true if it has carried an exchange before. */
class PooledConnection(val connection: HttpConnection, val reused: Boolean)

/** Keeps idle connections for reuse, per address. Confined to the event loop of [connector]. */
class ConnectionPool(private val connector: HttpConnector, private val clock: InstantSource) {
    private val idle = HashMap<Address, ArrayDeque<IdleConnection>>()
    private val openCounts = HashMap<Address, Int>()

    private class IdleConnection(val connection: HttpConnection, val expiresAt: Instant, val idleSince: Instant) {
        fun usable(now: Instant): Boolean = connection.reusable && now < expiresAt
    }

    /** The number of connections to [address] that are open or being opened. */
    fun openCount(address: Address): Int = openCounts[address] ?: 0

    /** The number of idle connections to [address]. */
    fun idleCount(address: Address): Int = idle[address]?.size ?: 0

    /**
     * Acquires a connection that has been idle for at most [maxIdleTime], or opens one, waiting for at most [timeout].
     *
     * @param requestId the ID of the request that is to be sent; the connection has not carried it before, since the
     * server's response to the earlier request might then be taken for the one to the next
     */
    suspend fun acquire(
        address: Address,
        maxIdleTime: Duration,
        timeout: Duration,
        requestId: String? = null,
    ): Result<PooledConnection, ExchangeFailure.ConnectFailed> {
        val reused = acquireIdle(address, maxIdleTime, requestId)
        if (reused != null) {
            return Ok(PooledConnection(reused, reused = true))
        }
        openCounts.merge(address, 1, Int::plus)
        var opened = false
        try {
            return connector.connect(address, timeout).map {
                opened = true
                PooledConnection(it, reused = false)
            }
        } finally {
            if (!opened) {
                decrementCount(address)
            }
        }
    }

    private fun acquireIdle(address: Address, maxIdleTime: Duration, requestId: String?): HttpConnection? {
        val idleConnections = idle[address] ?: ArrayDeque()
        val now = clock.instant()
        while (idleConnections.isNotEmpty() && !idleConnections.last().usable(now)) {
            discard(idleConnections.removeLast().connection)
        }
        val recent = idleConnections.filter { it.usable(now) && Duration.between(it.idleSince, now) <= maxIdleTime }
        val latest = recent.lastOrNull { requestId == null || requestId !in it.connection.carriedIds }
        // A caller that repeats one ID would else keep opening connections beside idle ones.
        val superseded = if (latest == null) recent.firstOrNull() else null
        idleConnections.remove(latest ?: superseded)
        superseded?.let { discard(it.connection) }
        return latest?.connection
    }

    /**
     * Releases a connection to the pool, which keeps it for at most [idleTimeout].
     *
     * Closes it instead if it can't be reused or if the pool already has [maxIdle] idle connections to its address.
     */
    fun release(connection: HttpConnection, idleTimeout: Duration, maxIdle: Int) {
        connection.finishExchange()
        val idleConnections = idle.getOrPut(connection.address) { ArrayDeque() }
        val now = clock.instant()
        if (connection.reusable && idleConnections.size < maxIdle) {
            idleConnections.addLast(IdleConnection(connection, now + idleTimeout, now))
        } else {
            discard(connection)
        }
    }

    /** Closes a connection instead of releasing it to the pool. */
    fun discard(connection: HttpConnection) {
        connection.close()
        decrementCount(connection.address)
    }

    /** Closes the idle connections that have expired or that the server has closed. */
    fun sweep() {
        val now = clock.instant()
        idle.values.forEach { idleConnections ->
            idleConnections.filterNot { it.usable(now) }.forEach {
                idleConnections.remove(it)
                discard(it.connection)
            }
        }
        idle.values.removeIf { it.isEmpty() }
    }

    /** Closes the idle connections to [address]. */
    fun closeIdle(address: Address) {
        idle.remove(address)?.forEach { discard(it.connection) }
    }

    private fun decrementCount(address: Address) {
        openCounts.computeIfPresent(address) { _, count -> (count - 1).takeIf { it > 0 } }
    }
}
