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

private const val MAX_PIPELINED_REQUESTS = 16

/** The other handlers in the pipeline of a [ServerConnection] that it uses. */
internal class PipelineHandlers(val gate: WriteGate, val timer: ReceiveTimer)

/** One server connection: assembles requests and runs the handler for one request at a time, in order of arrival. */
internal class ServerConnection(
    private val scope: CoroutineScope,
    private val options: HttpServerOptions,
    private val mayKeepAlive: () -> Boolean,
    private val pipeline: PipelineHandlers,
    private val handler: suspend (IncomingRequest, ResponseWriter) -> Unit,
) : SimpleChannelInboundHandler<HttpObject>() {
    private val aggregator = RequestAggregator(options.maxBodyBytes, pipeline.timer)
    private val pending = ArrayDeque<Aggregation.Complete>()
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
        when (val aggregation = aggregator.add(context, message)) {
            Aggregation.Incomplete -> Unit
            is Aggregation.Rejected -> reject(context, aggregation.rejection)
            is Aggregation.Complete -> if (pending.size < MAX_PIPELINED_REQUESTS) {
                pending.addLast(aggregation)
                handleNext(context)
            } else {
                reject(context, HttpRejection.MALFORMED)
            }
        }
    }

    private fun handleNext(context: ChannelHandlerContext) {
        if (running != null) {
            return
        }
        val next = pending.removeFirstOrNull()
        if (next == null) {
            if (!aggregator.receiving) pipeline.timer.awaitRequest(context)
            return
        }
        val writer = ConnectionWriter(context, pipeline.gate) { next.keepAlive && mayKeepAlive() }
        running = scope.launch { handle(context, next.request, writer) }
    }

    private suspend fun handle(context: ChannelHandlerContext, request: IncomingRequest, writer: ConnectionWriter) {
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
            !context.channel().isActive -> pending.clear()
            !writer.started -> reject(context, HttpRejection.HANDLER_FAILED)
            !writer.ended || !writer.keepAlive -> {
                closing = true
                context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { context.close() }
            }
            else -> handleNext(context)
        }
    }

    /** Closes the connection unless a request is being received or handled. */
    fun closeIfIdle() {
        if (running == null && !aggregator.receiving && pending.isEmpty()) {
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
        running?.cancel(CancellationException("the client closed the connection"))
        super.channelInactive(context)
    }

    @Deprecated("Deprecated in Netty's interface")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }
}
