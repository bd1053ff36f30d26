package comfreypath.router

import comfreypath.coordination.model.Refusal
import comfreypath.coordination.model.RefusalCode
import comfreypath.protocols.wireJson
import comfreypath.router.claims.Claims
import comfreypath.router.entry.Dispatcher
import comfreypath.router.entry.toErrorBody
import comfreypath.router.fleet.PeerConfiguration
import comfreypath.transport.HttpRejection
import comfreypath.transport.HttpServerOptions
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter
import comfreypath.transport.whole
import io.netty.handler.codec.http.HttpResponseStatus

private const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

/** Whether a router takes callers' requests. */
internal enum class Readiness {
    /** Its configuration is not known yet, or older than a peer's. */
    STARTING,

    /** It takes requests. */
    READY,

    /** It takes them still, and its balancer should send no more. */
    LEAVING,
}

/** Parts a router's requests into those of the platform, of peers and of callers. */
internal class RouterFront(
    private val context: RouterContext,
    private val internal: InternalApi,
    private val callers: suspend (IncomingRequest, ResponseWriter) -> Unit,
    private val readiness: () -> Readiness,
) {
    private val limits = context.options.limits

    suspend fun handle(request: IncomingRequest, writer: ResponseWriter) {
        when (request.path) {
            "/healthz" -> text(writer, HttpResponseStatus.OK, "alive\n")
            "/readyz" -> tellReadiness(writer)
            "/metrics" -> {
                val headers = mapOf("content-type" to METRICS_TYPE)
                writer.whole(HttpResponseStatus.OK, headers, context.metrics.text())
            }
            Dispatcher.PATH -> internal.dispatch(request, writer)
            Claims.PATH -> internal.claim(request, writer)
            PeerConfiguration.PATH -> internal.configuration(writer)
            else -> callers(request, writer)
        }
    }

    private suspend fun tellReadiness(writer: ResponseWriter) {
        val state = readiness()
        val status = if (state == Readiness.READY) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE
        text(writer, status, "${state.name.lowercase()}\n")
    }

    private suspend fun text(writer: ResponseWriter, status: HttpResponseStatus, text: String) =
        writer.whole(status, mapOf("content-type" to "text/plain; charset=utf-8"), text.encodeToByteArray())

    /** The limits of the server that calls [handle]. */
    fun serverOptions() = HttpServerOptions(
        headerBytes = limits.headerBytes,
        bodyBytes = limits.bodyBytes,
        connections = limits.connections,
        receiveTimeout = limits.receiveTimeout,
        rejectionBody = ::rejectionBody,
    )

    private fun rejectionBody(rejection: HttpRejection): ByteArray {
        val message = when (rejection) {
            HttpRejection.MALFORMED -> "the request is not well-formed HTTP/1.1"
            HttpRejection.HEADER_TOO_LARGE -> "the headers exceed ${limits.headerBytes} bytes"
            HttpRejection.BODY_TOO_LARGE -> "the body exceeds ${limits.bodyBytes} bytes"
            HttpRejection.TOO_SLOW -> "the request did not arrive whole within ${limits.receiveTimeout}"
            HttpRejection.HANDLER_FAILED -> "the router failed"
        }
        val refusal = Refusal(RefusalCode.BAD_INPUT, message)
        return wireJson.encodeToString(refusal.toErrorBody(null)).encodeToByteArray()
    }
}
