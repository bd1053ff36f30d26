package comfreypath.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit

private const val MAX_LINGER_MILLISECONDS = 1_000L
private const val MAX_LINGER_BYTES = 4_194_304L

/**
 * Discards what a client still sends after its last response, until the client closes the connection or a limit is
 * reached. Closing a connection that has unread bytes resets it, which can destroy the response on its way.
 */
internal class LingeringReader : ChannelInboundHandlerAdapter() {
    private var discardedBytes = 0L
    private var timeout: Future<*>? = null

    override fun isSharable(): Boolean = false

    override fun handlerAdded(context: ChannelHandlerContext) {
        timeout = context.executor().schedule({ context.close() }, MAX_LINGER_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) {
            discardedBytes += message.readableBytes()
        }
        ReferenceCountUtil.release(message)
        if (discardedBytes > MAX_LINGER_BYTES) {
            context.close()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timeout?.cancel(false)
        super.channelInactive(context)
    }
}
