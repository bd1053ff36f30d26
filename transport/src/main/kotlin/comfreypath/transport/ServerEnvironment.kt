package comfreypath.transport

import kotlinx.coroutines.CoroutineScope
import java.time.InstantSource

/**
 * What the connections of one [HttpServer] share.
 *
 * @property mayKeepAlive false while connections are to close after their next response
 * @property memory the budgets for the bodies of all requests and their responses
 */
internal class ServerEnvironment(
    val scope: CoroutineScope,
    val options: () -> HttpServerOptions,
    val mayKeepAlive: () -> Boolean,
    val memory: BodyMemory,
    private val reports: ServerReports,
    val handler: suspend (IncomingRequest, ResponseWriter) -> Unit,
) {
    /** Measures the age of requests. */
    val clock: InstantSource get() = reports.clock

    /** Is called with each event of a request or connection. */
    val onEvent: (ServerEvent) -> Unit get() = reports.onEvent
}

/** How a server reports its events. */
internal class ServerReports(val clock: InstantSource, val onEvent: (ServerEvent) -> Unit)
