package comfreypath.transport

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import java.time.Duration
import java.time.Instant
import java.time.InstantSource

/** A connection taken from a pool; [reused] tells whether it carried an exchange before. */
class PooledConnection(val connection: HttpConnection, val reused: Boolean)

/** Keeps the idle connections to each address, confined to the connector's event loop. */
class ConnectionPool(private val connector: HttpConnector, private val clock: InstantSource) {
    private val idle = HashMap<Address, ArrayDeque<Idle>>()
    private val counts = HashMap<Address, Int>()

    private class Idle(val connection: HttpConnection, val until: Instant, val since: Instant) {
        fun usable(now: Instant): Boolean = connection.reusable && now < until
    }

    /** The connections to [address] that are open or being opened. */
    fun openCount(address: Address): Int = counts[address] ?: 0

    /** The idle connections to [address]. */
    fun idleCount(address: Address): Int = idle[address]?.size ?: 0

    /**
     * Takes an idle connection that rested no longer than [maxIdleTime], or opens one, waiting [timeout] at the most.
     */
    suspend fun acquire(
        address: Address,
        maxIdleTime: Duration,
        timeout: Duration,
    ): Result<PooledConnection, ExchangeFailure.ConnectFailed> {
        val reused = takeIdle(address, maxIdleTime)
        if (reused != null) {
            return Ok(PooledConnection(reused, reused = true))
        }
        counts.merge(address, 1, Int::plus)
        var opened = false
        try {
            return connector.connect(address, timeout).map {
                opened = true
                PooledConnection(it, reused = false)
            }
        } finally {
            if (!opened) {
                forgetOne(address)
            }
        }
    }

    private fun takeIdle(address: Address, maxIdleTime: Duration): HttpConnection? {
        val resting = idle[address] ?: ArrayDeque()
        val now = clock.instant()
        while (resting.isNotEmpty() && !resting.last().usable(now)) {
            discard(resting.removeLast().connection)
        }
        val latest = resting.lastOrNull()?.takeIf { Duration.between(it.since, now) <= maxIdleTime }
        latest?.let { resting.removeLast() }
        return latest?.connection
    }

    /** Gives a connection back for at most [idleTimeout], or closes it when it can't carry another exchange. */
    fun release(connection: HttpConnection, idleTimeout: Duration, maxIdle: Int) {
        connection.finishExchange()
        val resting = idle.getOrPut(connection.address) { ArrayDeque() }
        val now = clock.instant()
        if (connection.reusable && resting.size < maxIdle) {
            resting.addLast(Idle(connection, now + idleTimeout, now))
        } else {
            discard(connection)
        }
    }

    /** Closes a connection. */
    fun discard(connection: HttpConnection) {
        connection.close()
        forgetOne(connection.address)
    }

    /** Closes the connections that have rested too long or were closed by the other end. */
    fun sweep() {
        val now = clock.instant()
        idle.values.forEach { resting ->
            resting.filterNot { it.usable(now) }.forEach {
                resting.remove(it)
                discard(it.connection)
            }
        }
        idle.values.removeIf { it.isEmpty() }
    }

    /** Closes the idle connections to [address]. */
    fun closeIdle(address: Address) {
        idle.remove(address)?.forEach { discard(it.connection) }
    }

    private fun forgetOne(address: Address) {
        counts.computeIfPresent(address) { _, count -> (count - 1).takeIf { it > 0 } }
    }
}
