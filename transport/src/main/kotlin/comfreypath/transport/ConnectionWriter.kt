package comfreypath.transport

import io.netty.buffer.Unpooled
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

    /** The handler gives the response up and closes the connection. */
    fun aborted()
}

/** Writes one response to a server connection; [mayKeepAlive] is false if the connection is to close after it. */
internal class ConnectionWriter(
    private val context: ChannelHandlerContext,
    private val gate: WriteGate,
    private val observer: ResponseObserver,
    private val mayKeepAlive: () -> Boolean,
) : ResponseWriter {
    private var closing = false
    override var started = false
        private set
    val keepAlive: Boolean get() = !closing && mayKeepAlive()
    var ended = false
        private set

    override suspend fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteArray) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body))
        addHeaders(response, headers)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        begin()
        ended = true
        flush(response)
    }

    override suspend fun start(status: HttpResponseStatus, headers: HttpHeaders, length: Long?) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
        addHeaders(response, headers)
        if (length == null) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        } else {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length)
        }
        begin()
        flush(response)
    }

    private fun begin() {
        started = true
        observer.begun()
    }

    private fun addHeaders(response: HttpResponse, headers: HttpHeaders) {
        response.headers().add(headers)
        if (!keepAlive) {
            closing = true
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
    }

    override suspend fun writeChunk(bytes: ByteArray) {
        flush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        gate.awaitWritable()
    }

    override suspend fun end() {
        ended = true
        flush(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    override fun abort() {
        started = true
        closing = true
        observer.aborted()
        context.close()
    }

    private fun flush(message: Any) {
        if (!context.channel().isActive) {
            throw IOException("the client closed the connection")
        }
        context.writeAndFlush(message).addListener { write ->
            when {
                !write.isSuccess -> observer.writeFailed(write.cause())
                message is LastHttpContent -> observer.written()
            }
        }
    }
}
