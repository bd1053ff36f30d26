package comfreypath.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

private const val MAX_HEADER_BYTES = 65_536

/**
 * Decodes the responses of one connection. A head that holds the status line of another one is malformed.
 *
 * @param memory holds the heads
 * @property method the method of the request in progress; the response to a HEAD request has no body, whatever its
 * headers say
 */
internal class ResponseDecoder(
    memory: ResponseHeadMemory = ResponseHeadMemory(MemoryBudget.unlimited()),
    private val method: () -> HttpMethod,
) : HttpResponseDecoder(
    HttpDecoderConfig()
        .setMaxHeaderSize(MAX_HEADER_BYTES)
        .setMaxInitialLineLength(MAX_HEADER_BYTES)
        .setHeadersFactory(memory.headersFactory)
        .setTrailersFactory(memory.trailersFactory),
) {
    private val progress = DecodingProgress()

    /** True while bytes of a response have been received that is not complete. */
    val partial: Boolean get() = progress.partial || actualReadableBytes() > 0

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val messages = out.size
        progress.track(buffer, out) { super.decode(context, buffer, out) }
        out.drop(messages).filterIsInstance<HttpResponse>().filter { it.joinsTwoHeads }.forEach {
            it.decoderResult = DecoderResult.failure(IllegalArgumentException("the head holds another status line"))
        }
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        method() == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
}
