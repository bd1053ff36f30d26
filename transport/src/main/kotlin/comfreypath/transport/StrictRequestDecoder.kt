package comfreypath.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Rejects requests that have both Content-Length and Transfer-Encoding: chunked, since two parsers may disagree on
 * where the body ends (request smuggling).
 */
internal class StrictRequestDecoder(maxHeaderBytes: Int) :
    HttpRequestDecoder(HttpDecoderConfig().setMaxHeaderSize(maxHeaderBytes).setMaxInitialLineLength(maxHeaderBytes)) {
    private val progress = DecodingProgress()

    /** True while bytes of a request have been received that is not complete. */
    val partial: Boolean get() = progress.partial || actualReadableBytes() > 0

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) =
        progress.track(buffer, out) { super.decode(context, buffer, out) }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("Transfer-Encoding and Content-Length are both set")
    }
}
