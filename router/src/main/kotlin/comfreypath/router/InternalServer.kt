package comfreypath.router

import comfreypath.transport.HttpServer
import comfreypath.transport.HttpServerOptions
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter

/** Requests at the addresses that are not for callers have no body. */
private const val MAX_BODY_BYTES = 4_096

/** The addresses of a router that are not for callers. */
internal enum class Listener {
    /** For the platform's readiness check. */
    READINESS,

    /** For other routers. */
    PEERS,

    /** For monitoring. */
    METRICS,
}

/**
 * A server at an address that is not for callers. Its requests, responses and connections draw from the same memory and
 * connections as theirs.
 */
internal fun RouterContext.internalServer(
    listener: Listener,
    handler: suspend (IncomingRequest, ResponseWriter) -> Unit,
): HttpServer {
    val events = ListenerEvents(this, listener)
    return HttpServer(
        loop = loop,
        options = { internalServerOptions(listener) },
        memory = memory,
        clock = clock,
        onEvent = events::record,
        handler = { request, writer ->
            handler(request, BudgetedResponse(request.memory.response, writer, events::recordResponseRefused))
        },
    )
}

private fun RouterContext.internalServerOptions(listener: Listener) = HttpServerOptions(
    maxBodyBytes = MAX_BODY_BYTES,
    maxConnections = if (listener == Listener.PEERS) options.maxPeerConnections else options.maxStatusConnections,
)
