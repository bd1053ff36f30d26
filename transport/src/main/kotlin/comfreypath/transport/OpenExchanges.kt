package comfreypath.transport

import java.time.Duration
import java.time.Instant
import java.time.InstantSource

/** A request that was read completely, until its response is written or known to be incomplete. */
internal class ServerExchange(val request: IncomingRequest, val keepAlive: Boolean, val readAt: Instant) {
    var responseBegun = false
}

/** The exchanges of one connection that have no complete response yet; reports how each of them ends. */
internal class OpenExchanges(private val clock: InstantSource, private val onEvent: (ServerEvent) -> Unit) {
    private val open = LinkedHashSet<ServerExchange>()

    /** True while [exchange] has no complete response. */
    operator fun contains(exchange: ServerExchange): Boolean = exchange in open

    /** Adds a request that was read completely. */
    fun add(complete: Aggregation.Complete): ServerExchange {
        val exchange = ServerExchange(complete.request, complete.keepAlive, clock.instant())
        open += exchange
        onEvent(ServerEvent.RequestRead)
        return exchange
    }

    /** Removes an exchange whose response is written completely. */
    fun complete(exchange: ServerExchange) {
        if (open.remove(exchange)) {
            exchange.request.memory.close()
            onEvent(ServerEvent.ResponseWritten)
        }
    }

    /** Removes an exchange that gets no complete response. */
    fun fail(exchange: ServerExchange, reason: UnansweredReason, cause: Throwable? = null) {
        if (open.remove(exchange)) {
            exchange.request.memory.close()
            val age = Duration.between(exchange.readAt, clock.instant())
            onEvent(ServerEvent.RequestUnanswered(exchange.request, reason, age, exchange.responseBegun, cause))
        }
    }

    /** Removes all exchanges other than [except]; none of them gets a complete response. */
    fun failAll(reason: UnansweredReason, except: ServerExchange? = null) =
        open.filter { it != except }.forEach { fail(it, reason) }
}
