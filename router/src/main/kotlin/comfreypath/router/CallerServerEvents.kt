package comfreypath.router

import com.github.michaelbull.result.fold
import comfreypath.router.request.CallerDialect
import comfreypath.transport.HttpRejection
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ServerEvent

/** Logs and counts what the server for callers reports. */
internal class CallerServerEvents(private val context: RouterContext, private val dialect: CallerDialect) {
    /** Logs and counts [event]. */
    fun record(event: ServerEvent) = when (event) {
        ServerEvent.RequestRead -> context.metrics.requestsRead.inc()
        ServerEvent.ResponseWritten -> context.metrics.responsesWritten.inc()
        is ServerEvent.RequestUnanswered -> recordUnanswered(event)
        is ServerEvent.HandlerFailed -> context.log.record(
            "handler_failed",
            "request" to event.request.id(),
            "error" to event.failure,
        )
        is ServerEvent.ConnectionFailed ->
            context.throttledLog.record("connection_failed", CALLERS, "error" to event.failure)
        is ServerEvent.RequestRejected -> recordRejected(event.rejection)
        is ServerEvent.ConnectionRefused -> recordRefused(event.openConnections)
    }

    private fun recordUnanswered(event: ServerEvent.RequestUnanswered) {
        val reason = event.reason.name.lowercase()
        context.metrics.requestsUnanswered.labelValues(reason).inc()
        context.log.record(
            "request_unanswered",
            "request" to event.request.id(),
            "reason" to reason,
            "error" to event.cause,
            "ageMs" to event.age.toMillis(),
            "answerBegun" to event.responseBegun,
        )
    }

    private fun recordRejected(rejection: HttpRejection) {
        val reason = rejection.name.lowercase()
        context.metrics.requestsRejected.labelValues(reason).inc()
        val heldBytes = context.memory.usedBytes
        context.throttledLog.record("requests_rejected", reason, "reason" to reason, "heldBytes" to heldBytes)
    }

    private fun recordRefused(openConnections: Int) {
        context.metrics.connectionsRefused.inc()
        context.throttledLog.record("connections_refused", CALLERS, "open" to openConnections)
    }

    private fun IncomingRequest.id() = dialect.read(this, context.now()).fold({ it.id }, { null })

    private companion object {
        const val CALLERS = "callers"
    }
}
