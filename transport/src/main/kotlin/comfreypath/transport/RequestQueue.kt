package comfreypath.transport

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.io.IOException

private const val MAX_PIPELINED_REQUESTS = 16

/**
 * The requests of one connection: runs the handler for one request at a time, in order of arrival, and closes the
 * connection after the last response. [onEmpty] is called when a response is over and no request is pending.
 */
internal class RequestQueue(
    private val context: ChannelHandlerContext,
    private val environment: ServerEnvironment,
    private val pipeline: PipelineHandlers,
    private val onEmpty: () -> Unit,
) {
    private val exchanges = OpenExchanges(environment.clock, environment.onEvent)
    private val pending = ArrayDeque<ServerExchange>()
    private var running: Job? = null
    private var flushing: ServerExchange? = null
    private var rejected: Rejected? = null
    private val closer = ConnectionCloser(context)
    private val writeTimer =
        WriteTimer(context, { environment.options().writeTimeout }) { closer.close(UnansweredReason.WRITE_TIMED_OUT) }

    /** False once the connection will close, so that no further request is accepted. */
    val accepting: Boolean get() = !closer.closing && rejected == null

    /** True while no request is handled or pending, and no response is being sent. */
    val empty: Boolean get() = !responding && pending.isEmpty()

    private val hasNext: Boolean get() = pending.isNotEmpty() || rejected != null

    /** True while a request is handled or its response is being sent. */
    private val responding: Boolean get() = running != null || flushing != null

    /** Adds a request that was read completely. */
    fun add(complete: Aggregation.Complete) {
        val exchange = exchanges.add(complete)
        if (pending.size < MAX_PIPELINED_REQUESTS) {
            pending.addLast(exchange)
            handleNext()
        } else {
            rejected = Rejected(HttpRejection.MALFORMED, exchange)
        }
    }

    /** Rejects what was received after the last request, once the requests before it have their responses. */
    fun reject(rejection: HttpRejection) {
        rejected = Rejected(rejection, exchange = null)
        handleNext()
    }

    private fun handleNext() {
        if (responding) {
            return
        }
        val next = pending.removeFirstOrNull()
        val rejection = rejected
        when {
            next != null -> handle(next)
            rejection != null -> respond(rejection)
            else -> onEmpty()
        }
    }

    private fun handle(exchange: ServerExchange) {
        val writer = ConnectionWriter(context, pipeline.gate, Observer(exchange), exchange.request.memory.response) {
            exchange.keepAlive && (environment.mayKeepAlive() || hasNext)
        }
        pipeline.encoder.beginResponse(exchange.request.method)
        val onFailure = CoroutineExceptionHandler { _, failure ->
            val clientLeft = failure is IOException && !context.channel().isActive
            if (!clientLeft) environment.onEvent(ServerEvent.HandlerFailed(exchange.request, failure))
        }
        running = environment.scope.launch(onFailure) {
            try {
                environment.handler(exchange.request, writer)
            } finally {
                finish(exchange, writer)
            }
        }
    }

    private fun finish(exchange: ServerExchange, writer: ConnectionWriter) {
        running = null
        when {
            !context.channel().isActive -> pending.clear()
            !writer.started -> respond(Rejected(HttpRejection.HANDLER_FAILED, exchange), exchange.keepAlive && hasNext)
            !writer.ended -> closer.closeAfterWrites(UnansweredReason.HANDLER_FAILED)
            writer.closing -> closeAfterResponse(exchange)
            exchange in exchanges -> {
                flushing = exchange
                writeTimer.start()
            }
            else -> handleNext()
        }
    }

    private fun closeAfterResponse(last: ServerExchange?) {
        exchanges.failAll(UnansweredReason.CLOSED_AFTER_RESPONSE, except = last)
        closer.closeAfterWrites(linger = rejected != null || pending.isNotEmpty() || pipeline.timer.receiving)
        writeTimer.start()
    }

    private fun respond(rejected: Rejected, keepAlive: Boolean = false) {
        val rejection = rejected.rejection
        pipeline.encoder.beginResponse(rejected.exchange?.request?.method)
        val response = rejection.response(environment.options().rejectionBody(rejection), keepAlive)
        context.writeAndFlush(response).addListener { write ->
            if (rejected.exchange != null && write.isSuccess) exchanges.complete(rejected.exchange)
        }
        if (keepAlive) handleNext() else closeAfterResponse(rejected.exchange)
    }

    /** Closes the connection if it has no request. */
    fun closeIfEmpty() {
        if (empty) {
            closer.closeAfterWrites()
        }
    }

    /** Closes the connection and aborts its requests. */
    fun stop() = closer.close(UnansweredReason.SERVER_STOPPED)

    /** Cancels the request in progress after the connection has closed. */
    fun cancel() {
        writeTimer.stop()
        exchanges.failAll(closer.reason ?: UnansweredReason.CLIENT_CLOSED)
        running?.cancel(CancellationException("the client closed the connection"))
    }

    /** A rejection, as the response to [exchange] or, if that is null, to bytes that are not a request. */
    private class Rejected(val rejection: HttpRejection, val exchange: ServerExchange?)

    private inner class Observer(private val exchange: ServerExchange) : ResponseObserver {
        override fun begun() {
            exchange.responseBegun = true
        }

        override fun written() {
            exchanges.complete(exchange)
            if (flushing == exchange) {
                flushing = null
                writeTimer.stop()
                handleNext()
            }
        }

        override fun writeFailed(cause: Throwable) {
            val reason = UnansweredReason.ofFailedWrite(cause, closer.reason)
            exchanges.fail(exchange, reason, cause)
            closer.close(reason)
        }

        override fun aborted(reason: UnansweredReason) = closer.close(reason)
    }
}

private fun HttpRejection.response(body: ByteArray, keepAlive: Boolean): FullHttpResponse {
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body))
    response.headers()
        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        .set(HttpHeaderNames.CONTENT_LENGTH, body.size)
    retryAfterSeconds?.let { response.headers().set(HttpHeaderNames.RETRY_AFTER, it) }
    HttpUtil.setKeepAlive(response, keepAlive)
    return response
}
