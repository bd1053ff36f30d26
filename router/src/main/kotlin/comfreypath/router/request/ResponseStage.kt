package comfreypath.router.request

import comfreypath.router.RouterContext
import io.netty.handler.codec.http.HttpResponseStatus
import java.time.Duration

private const val NANOSECONDS_PER_SECOND = 1e9

/** The status under which a stream that broke off is counted. */
private const val BROKEN_OFF = "broken_off"

/** Gives callers what came of their requests. */
class ResponseStage(
    private val context: RouterContext,
    private val relay: Relay,
    private val refuse: suspend (CallerExchange, Refusal) -> Unit,
) {
    /** Relays the request and answers its caller. */
    suspend fun respond(exchange: CallerExchange) {
        when (val result = relay(exchange)) {
            is RelayResult.Response -> {
                val answer = result.response
                exchange.writer.whole(HttpResponseStatus.valueOf(answer.status), answer.headers, answer.body)
                exchange.firstByteAt = context.now()
                count(exchange, answer.status.toString())
            }
            is RelayResult.Refused -> refuse(exchange, result.refusal)
            is RelayResult.Streamed -> {
                if (!result.complete) exchange.writer.abort()
                count(exchange, if (result.complete) HttpResponseStatus.OK.codeAsText().toString() else BROKEN_OFF)
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
