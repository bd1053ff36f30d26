package comfreypath.router.request

import comfreypath.router.RouterContext
import io.netty.handler.codec.http.HttpResponseStatus
import java.time.Duration

private const val NANOSECONDS_PER_SECOND = 1e9

/** The status label of streams that were aborted. */
private const val ABORTED_STATUS = "broken_off"

/** The last stage: relays requests and sends the results to their callers. */
class ResponseStage(
    private val context: RouterContext,
    private val relay: Relay,
    private val refuse: suspend (CallerExchange, Refusal) -> Unit,
) {
    /** Relays the request and responds to its caller. */
    suspend fun respond(exchange: CallerExchange) {
        when (val result = relay(exchange)) {
            is RelayResult.Response -> {
                val response = result.response
                exchange.writer.respond(HttpResponseStatus.valueOf(response.status), response.headers, response.body)
                exchange.firstByteAt = context.now()
                count(exchange, response.status.toString())
            }
            is RelayResult.Refused -> refuse(exchange, result.refusal)
            is RelayResult.Streamed -> {
                if (!result.complete) exchange.writer.abort()
                count(exchange, if (result.complete) HttpResponseStatus.OK.codeAsText().toString() else ABORTED_STATUS)
            }
        }
    }

    private fun count(exchange: CallerExchange, status: String) {
        val kind = exchange.route.kind.name.lowercase()
        context.metrics.answered.labelValues(kind, status).inc()
        exchange.firstByteAt?.let { at ->
            val waited = Duration.between(exchange.request.receivedAt, at).toNanos() / NANOSECONDS_PER_SECOND
            context.metrics.latency.labelValues(kind).observe(waited)
        }
    }
}
