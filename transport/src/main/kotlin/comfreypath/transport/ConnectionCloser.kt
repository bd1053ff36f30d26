package comfreypath.transport

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.DuplexChannel

/** Closes one server connection and keeps the reason. */
internal class ConnectionCloser(private val context: ChannelHandlerContext) {
    /** Why the server closes the connection before its responses are complete; null if it does not. */
    var reason: UnansweredReason? = null
        private set

    /** True once the server closes the connection. */
    var closing = false
        private set

    /**
     * Closes the connection once everything that was written before has been sent. With [linger], the client may still
     * be sending.
     */
    fun closeAfterWrites(because: UnansweredReason? = null, linger: Boolean = false) {
        if (!closing) {
            closing = true
            reason = because
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { write ->
                if (linger && write.isSuccess) shutdownOutput() else context.close()
            }
        }
    }

    private fun shutdownOutput() {
        val channel = context.channel()
        if (channel is DuplexChannel) {
            channel.pipeline().addFirst(LingeringReader())
            channel.shutdownOutput()
        } else {
            channel.close()
        }
    }

    /** Closes the connection at once. */
    fun close(because: UnansweredReason) {
        closing = true
        reason = because
        context.close()
    }
}
