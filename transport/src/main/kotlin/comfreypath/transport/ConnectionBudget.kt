package comfreypath.transport

import io.netty.channel.Channel

/**
 * Bounds the open connections of a process, those that its servers have accepted and those to endpoints, so that
 * descriptors stay free. Confined to one event loop.
 *
 * @property maxConnections the maximum number of open connections
 */
class ConnectionBudget(private val maxConnections: () -> Int) {
    private val servers = ArrayList<() -> Boolean>()

    /** The number of open connections. */
    var open: Int = 0
        private set

    /** True while no further connection should be opened. */
    val full: Boolean get() = open >= maxConnections()

    /** Adds a server; [closeReplaceable] closes a connection that has no request, or returns false if there is none. */
    internal fun addServer(closeReplaceable: () -> Boolean) {
        servers += closeReplaceable
    }

    /** Counts a connection until it is closed. */
    internal fun add(channel: Channel) {
        open += 1
        channel.closeFuture().addListener { open -= 1 }
    }

    /** Closes a connection without a request if no further one should be opened. */
    internal fun makeRoom() {
        if (full) servers.any { closeReplaceable -> closeReplaceable() }
    }

    companion object {
        /** A budget that nothing exhausts. */
        fun unlimited() = ConnectionBudget { Int.MAX_VALUE }
    }
}
