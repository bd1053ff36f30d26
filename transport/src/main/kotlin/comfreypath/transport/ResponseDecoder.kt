package comfreypath.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil

private const val MAX_HEADER_BYTES = 65_536
private val STATUS = Regex("[1-5][0-9]{2}")

/**
 * Decodes the responses of one connection. A head that holds the status line of another one is malformed, and so are a
 * status that is no number from 100 to 599, a switch of protocols, which no request asks for, and content after a
 * status that allows none.
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

    /** Whether the latest head announces chunks; the decoder removes that header where no content is allowed. */
    private var chunked = false

    /** True while bytes of a response have been received that is not complete. */
    val partial: Boolean get() = progress.partial || actualReadableBytes() > 0

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val messages = out.size
        progress.track(buffer, out) { super.decode(context, buffer, out) }
        out.drop(messages).filterIsInstance<HttpResponse>().forEach { response ->
            faultOf(response, bytesFollow = buffer.isReadable)?.let {
                response.decoderResult = DecoderResult.failure(IllegalArgumentException(it))
            }
        }
    }

    private fun faultOf(response: HttpResponse, bytesFollow: Boolean): String? = when {
        response.joinsTwoHeads -> "the head holds another status line"
        response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS -> "no other protocol was asked for"
        response.status() == HttpResponseStatus.NO_CONTENT && (bytesFollow || response.announcesContent) ||
            response.status() == HttpResponseStatus.NOT_MODIFIED && bytesFollow -> "the status allows no content"
        else -> null
    }

    private val HttpResponse.announcesContent: Boolean
        get() = chunked || headers().getAll(HttpHeaderNames.CONTENT_LENGTH).any { it.trim() != "0" }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        chunked = false
        require(STATUS.matches(initialLine[1])) { "the status is no number from 100 to 599" }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        chunked = chunked || HttpUtil.isTransferEncodingChunked(message)
        return method() == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
    }
}
