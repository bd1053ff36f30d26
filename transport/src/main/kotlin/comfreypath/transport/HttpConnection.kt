package comfreypath.transport

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.channels.Channel as Queue

private const val PARTS_BEFORE_PAUSE = 256

/** The head of a request to send; [headers] are sent as they are, with the body's length set. */
class RequestHead(val method: HttpMethod, val uri: String, val headers: HttpHeaders)

/**
 * One client connection, used for one exchange at a time.
 *
 * A server may send a response to an earlier exchange, or bytes that nobody asked for. The connection therefore hands
 * out every response that arrives and leaves it to the caller to tell whose it is; it counts as reusable only while
 * nothing unasked for has arrived.
 */
class HttpConnection internal constructor(private val channel: Channel, val address: Address) :
    SimpleChannelInboundHandler<HttpObject>() {
    private val parts = Queue<ResponsePart>(Queue.UNLIMITED)
    private var queued = 0
    private var reset = false
    private var persistent = true
    private var interim = false
    private var exchanging = false
    private var broken = false

    /** The method of the request in progress, by which the decoder knows whether its response has a body. */
    internal var method: HttpMethod = HttpMethod.GET
        private set

    /** True while another exchange can begin. */
    val reusable: Boolean get() = channel.isActive && persistent && !exchanging && !broken && queued == 0

    /** True until the connection has closed. */
    val open: Boolean get() = channel.isActive

    /** Sends a whole request; false when the connection was closed already, so that nothing left. */
    fun send(head: RequestHead, body: ByteArray): Boolean {
        if (!channel.isActive) {
            return false
        }
        exchanging = true
        method = head.method
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            head.method,
            head.uri,
            Unpooled.wrappedBuffer(body),
        )
        message.headers().add(head.headers)
        HttpUtil.setContentLength(message, body.size.toLong())
        if (body.isEmpty() && head.method == HttpMethod.GET) {
            message.headers().remove("content-length")
        }
        channel.writeAndFlush(message)
        return true
    }

    /** Waits for what arrives next. */
    suspend fun next(): ResponsePart {
        val part = parts.receiveCatching().getOrNull() ?: ResponsePart.Aborted(AbortReason.CLOSED)
        if (part !is ResponsePart.Aborted) {
            queued -= 1
            if (queued < PARTS_BEFORE_PAUSE && channel.isActive) {
                channel.config().isAutoRead = true
            }
        }
        return part
    }

    /** Ends the exchange in progress; the connection takes another one if it is [reusable] then. */
    fun finishExchange() {
        exchanging = false
    }

    /** Closes the connection. */
    fun close() {
        channel.close()
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (message.decoderResult().isFailure) {
            breakOff(
                when {
                    reset -> AbortReason.RESET
                    context.channel().isActive -> AbortReason.MALFORMED
                    else -> AbortReason.CLOSED
                },
            )
            return
        }
        if (message is HttpResponse) {
            interim = message.status().code() < HttpResponseStatus.OK.code()
        }
        if (message is HttpResponse && !interim) {
            persistent = persistent && HttpUtil.isKeepAlive(message)
            add(ResponsePart.Head(message.status().code(), message.headers()))
        }
        if (message is HttpContent) {
            accept(context, message)
        }
    }

    private fun accept(context: ChannelHandlerContext, content: HttpContent) {
        if (interim || broken) {
            return
        }
        if (content.content().isReadable) {
            val bytes = ByteArray(content.content().readableBytes())
            content.content().readBytes(bytes)
            add(ResponsePart.Bytes(bytes))
        }
        if (content is LastHttpContent) {
            if (reset) breakOff(AbortReason.RESET) else add(ResponsePart.End)
        }
        if (queued >= PARTS_BEFORE_PAUSE) {
            context.channel().config().isAutoRead = false
        }
    }

    private fun add(part: ResponsePart) {
        if (!broken) {
            queued += 1
            parts.trySend(part)
            if (!exchanging) {
                channel.close()
            }
        }
    }

    private fun breakOff(reason: AbortReason) {
        if (!broken) {
            broken = true
            parts.trySend(ResponsePart.Aborted(reason))
            parts.close()
            channel.close()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        breakOff(if (reset) AbortReason.RESET else AbortReason.CLOSED)
        super.channelInactive(context)
    }

    @Deprecated("Deprecated in the interface that Netty gives")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        reset = true
        context.close()
    }
}
