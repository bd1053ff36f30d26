package comfreypath.transport

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext

/** Closes one server connection and keeps the reason. */
internal class ConnectionCloser(private val context: ChannelHandlerContext) {
    /** Why the server closes the connection before its responses are complete; null if it does not. */
    var reason: UnansweredReason? = null
        private set

    /** True once the server closes the connection. */
    var closing = false
        private set

    /** Closes the connection once everything that was written before has been sent. */
    fun closeAfterWrites(because: UnansweredReason? = null) {
        if (!closing) {
            closing = true
            reason = because
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { context.close() }
        }
    }

    /** Closes the connection at once. */
    fun close(because: UnansweredReason) {
        closing = true
        reason = because
        context.close()
    }
}
