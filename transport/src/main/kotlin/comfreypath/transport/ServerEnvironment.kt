package comfreypath.transport

import kotlinx.coroutines.CoroutineScope
import java.time.InstantSource

/**
 * What the connections of one [HttpServer] share.
 *
 * @property mayKeepAlive false while connections are to close after their next response
 */
internal class ServerEnvironment(
    val scope: CoroutineScope,
    val options: () -> HttpServerOptions,
    val mayKeepAlive: () -> Boolean,
    val clock: InstantSource,
    val onEvent: (ServerEvent) -> Unit,
    val handler: suspend (IncomingRequest, ResponseWriter) -> Unit,
)
