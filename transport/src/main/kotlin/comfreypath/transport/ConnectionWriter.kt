package comfreypath.transport

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.io.IOException

/** Is told what happens to one response. */
internal interface ResponseObserver {
    /** The status line goes to the connection. */
    fun begun()

    /** The last byte was written to the connection. */
    fun written()

    /** A write failed; nothing more can be written. */
    fun writeFailed(cause: Throwable)

    /** The response is given up; the connection must close. */
    fun aborted(reason: UnansweredReason)
}

/**
 * Writes one response to a server connection; [mayKeepAlive] is false if the connection is to close after it.
 *
 * @property memory holds the chunks that the client has not received yet
 */
internal class ConnectionWriter(
    private val context: ChannelHandlerContext,
    private val gate: WriteGate,
    private val observer: ResponseObserver,
    private val memory: MemoryBudget.Account,
    private val mayKeepAlive: () -> Boolean,
) : ResponseWriter {
    private var state = State.NEW
    override val started: Boolean get() = state != State.NEW

    /** True if the client was told that the connection closes after this response. */
    var closing = false
        private set

    /** True once the response is complete, although it may not have reached the connection yet. */
    val ended: Boolean get() = state == State.ENDED

    override suspend fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteArray) {
        change(State.NEW, State.ENDED)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body))
        addHeaders(response, headers)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        begin(response)
    }

    override suspend fun start(status: HttpResponseStatus, headers: HttpHeaders, length: Long?) {
        change(State.NEW, State.STARTED)
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
        addHeaders(response, headers)
        if (length == null) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        } else {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length)
        }
        begin(response)
    }

    private fun begin(response: HttpResponse) {
        observer.begun()
        flush(response)
    }

    private fun addHeaders(response: HttpResponse, headers: HttpHeaders) {
        response.headers().add(headers)
        if (!mayKeepAlive()) {
            closing = true
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
    }

    override suspend fun writeChunk(bytes: ByteArray) {
        change(State.STARTED, State.STARTED)
        val reserved = memory.add(bytes.size)
        val write = flush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        if (reserved) {
            write.addListener { memory.remove(bytes.size) }
            gate.awaitWritable()
        } else {
            write.awaitSuccess()
        }
    }

    override suspend fun end() {
        change(State.STARTED, State.ENDED)
        flush(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    override fun abort() = abort(UnansweredReason.RESPONSE_ABORTED)

    private fun abort(reason: UnansweredReason) {
        state = State.ABORTED
        closing = true
        observer.aborted(reason)
    }

    /** Parts in the wrong order would be taken for parts of another response, so that they close the connection. */
    private fun change(from: State, to: State) {
        if (!context.channel().isActive) {
            throw IOException("the connection is closed")
        }
        val current = state
        if (current != from) {
            abort(UnansweredReason.HANDLER_FAILED)
            error("a part of a response was written out of order, in state $current")
        }
        state = to
    }

    private fun flush(message: Any): ChannelFuture = context.writeAndFlush(message).addListener { write ->
        when {
            !write.isSuccess -> observer.writeFailed(write.cause())
            message is LastHttpContent -> observer.written()
        }
    }

    private enum class State { NEW, STARTED, ENDED, ABORTED }
}
