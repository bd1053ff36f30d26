package comfreypath.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestDecoder

/** The decoder keeps a copy of the longest line, so that it is replaced after longer input. */
private const val RENEWAL_BYTES = 1_024

/** Unused memory of a buffer that is not worth a copy. */
private const val SPARE_BYTES = 256

/** The buffer, and the decoder's copy of the line in it. */
private const val INPUT_COPIES = 2

/** Fired when no memory is left for input that can't be decoded yet. */
internal object InputOutOfMemory

/**
 * Decodes the requests of one connection, whose heads and unfinished lines take their memory from [memory].
 *
 * Rejects requests that have both Content-Length and Transfer-Encoding: chunked, since two parsers may disagree on
 * where the body ends (request smuggling).
 */
internal class StrictRequestDecoder(private val maxHeaderBytes: Int, private val memory: RequestMemory) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxInitialLineLength(maxHeaderBytes)
            .setHeadersFactory(memory.headersFactory)
            .setTrailersFactory(memory.trailersFactory),
    ) {
    private val progress = DecodingProgress()
    private var longestInput = 0
    private var dropped = false

    /** True while bytes of a request have been received that is not complete. */
    val partial: Boolean get() = progress.partial || actualReadableBytes() > 0

    private val renewable: Boolean get() = !partial && !dropped && longestInput > RENEWAL_BYTES

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        longestInput = maxOf(longestInput, buffer.readableBytes())
        if (dropped) {
            buffer.skipBytes(buffer.readableBytes())
        } else {
            progress.track(buffer, out) { super.decode(context, buffer, out) }
            // After a malformed message, nothing that follows is a request.
            dropped = (out.lastOrNull() as? HttpObject)?.decoderResult()?.isFailure == true
        }
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage =
        super.createMessage(initialLine).also { memory.reserveRequestLine(initialLine.sumOf { it.length }) }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("Transfer-Encoding and Content-Length are both set")
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        super.channelReadComplete(context)
        if (actualReadableBytes() > 0) holdInput(context) else memory.holdInput(0)
        if (renewable && context.channel().isActive) {
            context.pipeline().replace(this, null, StrictRequestDecoder(maxHeaderBytes, memory))
        }
    }

    private fun holdInput(context: ChannelHandlerContext) {
        val input = internalBuffer()
        if (input.refCnt() == 1 && input.capacity() > INPUT_COPIES * input.readableBytes() + SPARE_BYTES) {
            input.discardReadBytes().capacity(input.readableBytes())
        }
        if (!memory.holdInput(INPUT_COPIES * input.capacity())) {
            context.pipeline().fireUserEventTriggered(InputOutOfMemory)
        }
    }

    /** Drops what has been received of a request, and all that follows. */
    fun drop() {
        dropped = true
        if (actualReadableBytes() > 0 && internalBuffer().refCnt() == 1) internalBuffer().clear().capacity(0)
    }
}
