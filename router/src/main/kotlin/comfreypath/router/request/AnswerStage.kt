package comfreypath.router.request

import io.netty.handler.codec.http.HttpResponseStatus

/** Gives callers what came of their requests. */
class AnswerStage(private val relay: Relay, private val refuse: suspend (CallerExchange, Refusal) -> Unit) {
    /** Relays the request and answers its caller. */
    suspend fun answer(exchange: CallerExchange) {
        when (val result = relay(exchange)) {
            is RelayResult.Answer -> {
                val answer = result.answer
                exchange.writer.whole(HttpResponseStatus.valueOf(answer.status), answer.headers, answer.body)
            }
            is RelayResult.Refused -> refuse(exchange, result.refusal)
            is RelayResult.Streamed -> if (!result.complete) exchange.writer.abort()
        }
    }
}
