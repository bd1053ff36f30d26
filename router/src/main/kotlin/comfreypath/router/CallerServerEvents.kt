package comfreypath.router

import com.github.michaelbull.result.fold
import comfreypath.router.request.CallerDialect
import comfreypath.transport.HttpRejection
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ServerEvent
import java.time.Duration
import java.time.Instant
import java.util.EnumMap

private const val REFUSED_CONNECTIONS_LOG_SECONDS = 1L

/** Logs and counts what the server for callers reports. */
internal class CallerServerEvents(private val context: RouterContext, private val dialect: CallerDialect) {
    private var refusedSinceLine = 0
    private var refusalsLoggedAt: Instant? = null
    private val rejectionsLoggedAt = EnumMap<HttpRejection, Instant>(HttpRejection::class.java)

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

    /** Logs at most one line in [REFUSED_CONNECTIONS_LOG_INTERVAL] for each kind of rejection. */
    private fun recordRejected(rejection: HttpRejection) {
        val reason = rejection.name.lowercase()
        context.metrics.requestsRejected.labelValues(reason).inc()
        val now = context.now()
        if (rejectionsLoggedAt[rejection]?.let { now < it + REFUSED_CONNECTIONS_LOG_INTERVAL } != true) {
            context.log.record("requests_rejected", "reason" to reason, "heldBytes" to context.memory.usedBytes)
            rejectionsLoggedAt[rejection] = now
        }
    }

    /** Logs at most one line in [REFUSED_CONNECTIONS_LOG_INTERVAL]. */
    private fun recordRefused(openConnections: Int) {
        context.metrics.connectionsRefused.inc()
        refusedSinceLine += 1
        val now = context.now()
        if (refusalsLoggedAt?.let { now < it + REFUSED_CONNECTIONS_LOG_INTERVAL } != true) {
            context.log.record("connections_refused", "count" to refusedSinceLine, "open" to openConnections)
            refusalsLoggedAt = now
            refusedSinceLine = 0
        }
    }

    private fun IncomingRequest.id() = dialect.read(this, context.now()).fold({ it.id }, { null })

    private companion object {
        val REFUSED_CONNECTIONS_LOG_INTERVAL: Duration = Duration.ofSeconds(REFUSED_CONNECTIONS_LOG_SECONDS)
    }
}
