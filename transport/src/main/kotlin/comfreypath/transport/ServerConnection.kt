package comfreypath.transport

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.io.IOException

private const val PIPELINED_REQUESTS = 16

/** The handlers of a connection that its [ServerConnection] works with. */
internal class ConnectionParts(val gate: WriteGate, val timer: ReceiveTimer)

/** One server connection: gathers whole requests and runs the handler for one at a time, in order. */
internal class ServerConnection(
    private val scope: CoroutineScope,
    private val options: HttpServerOptions,
    private val keepConnections: () -> Boolean,
    private val parts: ConnectionParts,
    private val handler: suspend (IncomingRequest, ResponseWriter) -> Unit,
) : SimpleChannelInboundHandler<HttpObject>() {
    private val gatherer = RequestGatherer(options.maxBodyBytes, parts.timer)
    private val waiting = ArrayDeque<Gathered.Whole>()
    private var running: Job? = null
    private var closing = false
    private var connection: ChannelHandlerContext? = null

    override fun handlerAdded(context: ChannelHandlerContext) {
        connection = context
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (closing) {
            return
        }
        when (val gathered = gatherer.take(context, message)) {
            Gathered.Incomplete -> Unit
            is Gathered.Rejected -> reject(context, gathered.rejection)
            is Gathered.Whole -> if (waiting.size < PIPELINED_REQUESTS) {
                waiting.addLast(gathered)
                runNext(context)
            } else {
                reject(context, HttpRejection.MALFORMED)
            }
        }
    }

    private fun runNext(context: ChannelHandlerContext) {
        if (running != null) {
            return
        }
        val next = waiting.removeFirstOrNull()
        if (next == null) {
            if (!gatherer.receiving) parts.timer.awaitRequest(context)
            return
        }
        val writer = ConnectionWriter(context, parts.gate) { next.keepAlive && keepConnections() }
        running = scope.launch { answer(context, next.request, writer) }
    }

    private suspend fun answer(context: ChannelHandlerContext, request: IncomingRequest, writer: ConnectionWriter) {
        try {
            handler(request, writer)
        } catch (closed: IOException) {
            context.fireExceptionCaught(closed)
        } finally {
            finish(context, writer)
        }
    }

    private fun finish(context: ChannelHandlerContext, writer: ConnectionWriter) {
        running = null
        when {
            !context.channel().isActive -> waiting.clear()
            !writer.started -> reject(context, HttpRejection.HANDLER_FAILED)
            !writer.ended || !writer.keepAlive -> {
                closing = true
                context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { context.close() }
            }
            else -> runNext(context)
        }
    }

    /** Closes the connection unless a request is being received or answered. */
    fun closeIfIdle() {
        if (running == null && !gatherer.receiving && waiting.isEmpty()) {
            connection?.close()
        }
    }

    private fun reject(context: ChannelHandlerContext, rejection: HttpRejection) {
        closing = true
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            rejection.status,
            Unpooled.wrappedBuffer(options.rejectionBody(rejection)),
        )
        response.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
            .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        context.writeAndFlush(response).addListener { context.close() }
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        when (event) {
            ReceiveTimeout.IDLE -> closeIfIdle()
            ReceiveTimeout.REQUEST -> if (running == null && !closing) reject(context, HttpRejection.TOO_SLOW)
            else -> super.userEventTriggered(context, event)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        running?.cancel(CancellationException("the other end closed the connection"))
        super.channelInactive(context)
    }

    @Deprecated("Deprecated in the interface that Netty gives")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }
}
