package comfreypath.transport

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext

/** Closes one server connection and keeps the reason. */
internal class ConnectionCloser(private val context: ChannelHandlerContext) {
    /** Why the server closes the connection; null if it does not. */
    var reason: UnansweredReason? = null
        private set

    /** True once the server closes the connection. */
    val closing: Boolean get() = reason != null

    /** Closes the connection once everything that was written before has been sent. */
    fun closeAfterWrites(because: UnansweredReason) {
        if (!closing) {
            reason = because
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { context.close() }
        }
    }

    /** Closes the connection at once. */
    fun close(because: UnansweredReason) {
        reason = reason ?: because
        context.close()
    }
}
