package comfreypath.transport

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import kotlinx.coroutines.CompletableDeferred

/** Applies backpressure: suspends writers while a connection's write buffer is full. */
internal class WriteGate : ChannelInboundHandlerAdapter() {
    private var writable = CompletableDeferred<Unit>().also { it.complete(Unit) }

    /** Suspends while the buffer is full; returns at once if the connection is closed. */
    suspend fun awaitWritable() = writable.await()

    override fun isSharable(): Boolean = false

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) {
            writable.complete(Unit)
        } else if (writable.isCompleted) {
            writable = CompletableDeferred()
        }
        super.channelWritabilityChanged(context)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        writable.complete(Unit)
        super.channelInactive(context)
    }
}
