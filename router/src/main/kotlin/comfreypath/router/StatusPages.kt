package comfreypath.router

import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter
import comfreypath.transport.respond
import io.netty.handler.codec.http.HttpResponseStatus

private const val METRICS_PATH = "/metrics"
private const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

/** Serves the readiness check of a router to the platform, and its metrics. */
internal class StatusPages(private val context: RouterContext, private val ready: () -> Boolean) {
    private val readiness = context.internalServer(Listener.READINESS, ::handleReadiness)
    private val metrics = context.internalServer(Listener.METRICS, ::handleMetrics)

    /** Starts to serve the readiness check. */
    suspend fun startReadiness() {
        readiness.start(context.options.readinessAddress)
    }

    /** Starts to serve metrics. */
    suspend fun startMetrics() {
        metrics.start(context.options.metricsAddress)
    }

    /** Stops both servers. */
    suspend fun stop() {
        readiness.stop()
        metrics.stop()
    }

    private suspend fun handleReadiness(request: IncomingRequest, writer: ResponseWriter) {
        val status = if (ready()) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE
        writer.respond(status, mapOf("content-type" to "text/plain"), "${request.path}\n".encodeToByteArray())
    }

    private suspend fun handleMetrics(request: IncomingRequest, writer: ResponseWriter) {
        val found = request.path == METRICS_PATH
        val status = if (found) HttpResponseStatus.OK else HttpResponseStatus.NOT_FOUND
        val body = if (found) context.metrics.prometheusText() else ByteArray(0)
        writer.respond(status, mapOf("content-type" to METRICS_TYPE), body)
    }
}
