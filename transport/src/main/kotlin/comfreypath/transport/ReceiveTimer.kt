package comfreypath.transport

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.concurrent.Future
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Fired through the pipeline when a client takes too long. */
internal enum class ReceiveTimeout {
    /** No request began on an open connection. */
    IDLE,

    /** A request began and did not arrive whole. */
    REQUEST,
}

/**
 * Times what a client sends on one connection: the headers from their first byte, each pause in a body, and the time
 * without a request. It stands before the decoder, since only there the first byte of a request shows.
 */
internal class ReceiveTimer(private val options: HttpServerOptions) : ChannelInboundHandlerAdapter() {
    private var receiving = false
    private var answering = false
    private var timeout: Future<*>? = null

    override fun handlerAdded(context: ChannelHandlerContext) = arm(context, options.idleTimeout, ReceiveTimeout.IDLE)

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (!receiving && !answering) {
            receiving = true
            arm(context, options.receiveTimeout, ReceiveTimeout.REQUEST)
        }
        super.channelRead(context, message)
    }

    /** A piece of a request arrived; the next one has the receive timeout. */
    fun bodyArrives(context: ChannelHandlerContext) = arm(context, options.receiveTimeout, ReceiveTimeout.REQUEST)

    /** A whole request arrived; nothing is timed until it is answered. */
    fun requestArrived() {
        receiving = false
        answering = true
        timeout?.cancel(false)
    }

    /** The connection waits for the next request. */
    fun awaitRequest(context: ChannelHandlerContext) {
        answering = false
        arm(context, options.idleTimeout, ReceiveTimeout.IDLE)
    }

    private fun arm(context: ChannelHandlerContext, after: Duration, event: ReceiveTimeout) {
        timeout?.cancel(false)
        timeout = context.executor().schedule(
            { context.pipeline().fireUserEventTriggered(event) },
            after.toMillis(),
            TimeUnit.MILLISECONDS,
        )
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timeout?.cancel(false)
        super.channelInactive(context)
    }
}
