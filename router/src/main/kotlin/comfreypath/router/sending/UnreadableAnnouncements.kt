package comfreypath.router.sending

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.RequestId
import comfreypath.router.RouterContext
import java.time.Duration
import java.time.Instant

private const val LOG_SECONDS = 60L
private const val MAX_ENDPOINTS = 1_024
private const val MAX_LOGGED_CHARACTERS = 64

/** Counts the announcements of one [kind] that can't be read, and logs one for each endpoint and minute. */
internal class UnreadableAnnouncements(private val context: RouterContext, private val kind: String) {
    private val logInterval = Duration.ofSeconds(LOG_SECONDS)
    private val loggedAt = HashMap<EndpointName, Instant>()

    /** Records that [endpoint] announced [text] in response to [request]. */
    fun record(endpoint: EndpointName, text: String, request: RequestId) {
        context.metrics.announcements.labelValues("unreadable_$kind").inc()
        val now = context.now()
        val last = loggedAt[endpoint]
        val due = last == null || now >= last + logInterval
        if (due && (last != null || loggedAt.size < MAX_ENDPOINTS)) {
            loggedAt[endpoint] = now
            context.log.record(
                "${kind}_unreadable",
                "request" to request,
                "endpoint" to endpoint,
                "value" to text.take(MAX_LOGGED_CHARACTERS),
            )
        }
    }

    /** Drops the endpoints of which another announcement may be logged. */
    fun sweep() {
        val now = context.now()
        loggedAt.values.removeIf { now >= it + logInterval }
    }
}
