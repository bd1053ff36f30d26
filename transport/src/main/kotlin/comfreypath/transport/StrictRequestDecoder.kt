package comfreypath.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent

/**
 * Rejects requests that have both Content-Length and Transfer-Encoding: chunked, since two parsers may disagree on
 * where the body ends (request smuggling).
 */
internal class StrictRequestDecoder(maxHeaderBytes: Int) :
    HttpRequestDecoder(HttpDecoderConfig().setMaxHeaderSize(maxHeaderBytes).setMaxInitialLineLength(maxHeaderBytes)) {
    private var decodedPart = false

    /** True while bytes of a request have been received that is not complete. */
    val partial: Boolean get() = decodedPart || actualReadableBytes() > 0

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val readable = buffer.readableBytes()
        val messages = out.size
        super.decode(context, buffer, out)
        if (out.size > messages && out.last() is LastHttpContent) {
            decodedPart = false
        } else if (buffer.readableBytes() < readable) {
            decodedPart = true
        }
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("Transfer-Encoding and Content-Length are both set")
    }
}
