package comfreypath.transport

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.TooLongFrameException
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
import java.net.InetSocketAddress

private const val MAX_INTERIM_RESPONSES = 16

/** The head of a request. [headers] are sent unchanged, except for Content-Length, which is set from the body. */
class RequestHead(val method: HttpMethod, val uri: String, val headers: HttpHeaders)

/**
 * One client connection, used for one exchange at a time.
 *
 * A server may send a late response to an earlier exchange, or unsolicited bytes. The connection therefore passes on
 * every response that it receives, and callers match responses to requests. It is reusable only while no unsolicited
 * data has arrived.
 *
 * @property address the address of the server
 * @property queue the parts of responses that wait to be read
 * @property partiallyReceived whether a part of a response has arrived, but not its end
 */
class HttpConnection internal constructor(
    private val channel: Channel,
    val address: Address,
    private val heads: ResponseHeadMemory,
    private val queue: ResponseQueue,
    private val partiallyReceived: () -> Boolean,
) : MessageHandler<HttpObject>() {
    private var reset = false
    private var persistent = true
    private var interim = false
    private var interimCount = 0
    private var exchangeInProgress = false
    private var writing = false
    private var aborted = false

    /** The IDs of the requests that were sent on this connection. */
    val carriedIds = CarriedIds()

    /** The local port, by which the server's own log names the connection; null once it has closed. */
    val localPort: Int? get() = (channel.localAddress() as? InetSocketAddress)?.port

    /** The number of requests that were sent on this connection, including the one in progress. */
    var exchanges = 0
        private set

    /** The method of the request in progress, from which the decoder derives whether the response has a body. */
    internal var method: HttpMethod = HttpMethod.GET
        private set

    /**
     * True if another exchange can start. A server may respond before it has read the request; until that is written
     * completely, no other request may follow it.
     */
    val reusable: Boolean
        get() = channel.isActive && persistent && !exchangeInProgress && !writing && !aborted && queue.empty &&
            !carriedIds.full && !partiallyReceived()

    /** Decides when the connection is read. */
    val pacer: ReadPacer get() = queue.pacer

    /** The number of parts of responses that wait to be read. */
    internal val queuedParts: Int get() = queue.size

    /** True until the connection has closed. */
    val open: Boolean get() = channel.isActive

    /**
     * Sends a complete request; returns false if the connection is already closed, so that nothing is sent.
     *
     * A failed write aborts the response. The channel closes itself then without reading on, so that the reset behind
     * the failure would look like the regular end of a response without a length.
     *
     * @param id the ID that the server echoes in its response; null if it echoes none
     */
    fun send(head: RequestHead, body: ByteArray, id: String? = null): Boolean {
        if (!channel.isActive) {
            return false
        }
        id?.let { carriedIds.add(it) }
        exchangeInProgress = true
        exchanges += 1
        interimCount = 0
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
        writing = true
        channel.writeAndFlush(message).addListener { write ->
            writing = false
            if (!write.isSuccess) abort(AbortReason.RESET)
        }
        return true
    }

    /** Waits for the next part of a response. Returns [ResponsePart.Aborted] if no further part can arrive. */
    suspend fun next(): ResponsePart = queue.next() ?: ResponsePart.Aborted(AbortReason.CLOSED)

    /** Ends the exchange in progress; another one can start if the connection is [reusable] afterwards. */
    fun finishExchange() {
        exchangeInProgress = false
        heads.release()
    }

    /** Closes the connection; a response in progress is incomplete. */
    fun close() = abort(AbortReason.CLOSED)

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (message.decoderResult().isFailure) {
            abort(reasonFor(message.decoderResult().cause(), reset, context.channel().isActive))
            return
        }
        if (message is HttpResponse) {
            interim = message.status().code() < HttpResponseStatus.OK.code()
            interimCount += if (interim) 1 else 0
            if (interimCount > MAX_INTERIM_RESPONSES) abort(AbortReason.TOO_MANY_INTERIM_RESPONSES)
        }
        if (message is HttpResponse && !interim) {
            persistent = persistent && HttpUtil.isKeepAlive(message)
            add(ResponsePart.Head(message.status().code(), message.headers()))
        }
        if (message is HttpContent && !interim && !aborted) {
            queue.addContent(message)
            if (message is LastHttpContent) {
                if (reset) abort(AbortReason.RESET) else add(ResponsePart.End)
            }
        }
    }

    private fun add(part: ResponsePart) {
        if (!aborted) {
            queue.add(part)
            if (!exchangeInProgress) {
                channel.close()
            }
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (!aborted) queue.endRead()
        super.channelReadComplete(context)
    }

    private fun abort(reason: AbortReason) {
        if (!aborted) {
            aborted = true
            queue.close(ResponsePart.Aborted(reason))
            channel.close()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        abort(if (reset) AbortReason.RESET else AbortReason.CLOSED)
        heads.release()
        queue.release()
        super.channelInactive(context)
    }

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        reset = true
        context.close()
    }
}

/** Why a message that failed with [cause] ends its connection; [open] is false if that has closed already. */
private fun reasonFor(cause: Throwable, reset: Boolean, open: Boolean): AbortReason = when {
    reset -> AbortReason.RESET
    !open -> AbortReason.CLOSED
    cause is TooLongFrameException -> AbortReason.FRAMING_TOO_LONG
    cause is HeadOutOfMemoryException -> AbortReason.OUT_OF_MEMORY
    else -> AbortReason.MALFORMED
}
