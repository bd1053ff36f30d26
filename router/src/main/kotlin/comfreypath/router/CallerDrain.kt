package comfreypath.router

import comfreypath.router.request.RequestPipeline
import comfreypath.transport.HttpServer
import kotlinx.coroutines.delay
import java.time.Duration
import java.time.Instant

private const val POLL_INTERVAL_MILLISECONDS = 20L

/** How long the refusals of requests that did not end within the grace period may take to reach their callers. */
private const val FINAL_ANSWERS_MILLISECONDS = 150L

/** Ends the requests and connections of callers when the router stops. */
internal class CallerDrain(
    private val context: RouterContext,
    private val requests: RequestPipeline,
    private val server: HttpServer,
) {
    /** Closes connections as they become idle until [deadline], or until all are closed and [busy] is false. */
    suspend fun awaitIdle(deadline: Instant, busy: () -> Boolean) {
        server.closeAfterResponse = true
        server.stopAccepting()
        val hasWork = { requests.inProgress > 0 || server.connectionCount > 0 || busy() }
        while (context.now() < deadline && hasWork()) {
            server.closeIdle()
            delay(POLL_INTERVAL_MILLISECONDS)
        }
    }

    /** Sends a final answer to requests that did not end in time. */
    suspend fun refuseRemaining() {
        val deadline = context.now() + FINAL_ANSWERS
        val answering = requests.refuseRemaining() > 0
        while (answering && server.connectionCount > 0 && context.now() < deadline) {
            delay(POLL_INTERVAL_MILLISECONDS)
            server.closeIdle()
            requests.refuseRemaining()
        }
    }

    private companion object {
        val FINAL_ANSWERS: Duration = Duration.ofMillis(FINAL_ANSWERS_MILLISECONDS)
    }
}
