package comfreypath.router

import comfreypath.transport.HttpRejection
import comfreypath.transport.ServerEvent

/** Logs and counts what a server at an address that is not for callers refuses, and the failures of its handler. */
internal class ListenerEvents(private val context: RouterContext, listener: Listener) {
    private val listener = listener.name.lowercase()

    /** Logs and counts [event]. */
    fun record(event: ServerEvent) = when (event) {
        is ServerEvent.RequestRejected -> recordRejected(event.rejection)
        is ServerEvent.ConnectionRefused -> recordRefused(event.openConnections)
        is ServerEvent.HandlerFailed ->
            context.throttledLog.record("handler_failed", listener, "listener" to listener, "error" to event.failure)
        is ServerEvent.ConnectionFailed ->
            context.throttledLog.record("connection_failed", listener, "listener" to listener, "error" to event.failure)
        is ServerEvent.RequestUnanswered, ServerEvent.RequestRead, ServerEvent.ResponseWritten -> Unit
    }

    /** Logs and counts a response that found no memory. */
    fun recordResponseRefused() = recordRefusal("response_out_of_memory")

    private fun recordRejected(rejection: HttpRejection) = recordRefusal(rejection.name.lowercase())

    private fun recordRefusal(reason: String) {
        context.metrics.internalRefused.labelValues(listener, reason).inc()
        context.throttledLog.record(
            "requests_rejected",
            "$listener $reason",
            "listener" to listener,
            "reason" to reason,
            "heldBytes" to context.memory.usedBytes,
        )
    }

    private fun recordRefused(openConnections: Int) {
        context.metrics.internalRefused.labelValues(listener, "connection").inc()
        context.throttledLog.record(
            "connections_refused",
            listener,
            "listener" to listener,
            "open" to openConnections,
            "openInTotal" to context.memory.connections.open,
        )
    }
}
