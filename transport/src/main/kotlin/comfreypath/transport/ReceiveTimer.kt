package comfreypath.transport

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.concurrent.Future
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import java.util.concurrent.TimeUnit

/** The events that [ReceiveTimer] fires through the pipeline. */
internal enum class ReceiveTimeout {
    /** No request started on an open connection within the idle timeout. */
    IDLE,

    /** A request started and was not completely received in time. */
    REQUEST,
}

/**
 * Enforces timeouts on what a client sends over one connection: on the headers from their first byte, on each pause in
 * a body, and on the idle time between requests. It precedes the decoder in the pipeline, since only there the first
 * byte of a request is visible. The next request is timed also while the one before is handled.
 *
 * @param partial whether the decoder has a part of a request
 */
internal class ReceiveTimer(
    private val options: () -> HttpServerOptions,
    private val clock: InstantSource,
    private val partial: () -> Boolean,
) : ChannelInboundHandlerAdapter() {
    private var timeout: Future<*>? = null

    /** True while a request has been received only partly. */
    var receiving = false
        private set

    override fun isSharable(): Boolean = false

    override fun handlerAdded(context: ChannelHandlerContext) = awaitRequest(context)

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        super.channelRead(context, message)
        if (!receiving && partial()) {
            partReceived(context)
        }
    }

    /** Restarts the receive timeout after a part of a request. */
    fun partReceived(context: ChannelHandlerContext) {
        receiving = true
        arm(context, options().receiveTimeout) {
            context.pipeline().fireUserEventTriggered(ReceiveTimeout.REQUEST)
        }
    }

    /** Stops the timeout of a request whose client has been told to wait. */
    fun hold() {
        timeout?.cancel(false)
    }

    /** Stops the timeout after a complete request, while the request is handled. */
    fun requestReceived() {
        receiving = false
        timeout?.cancel(false)
    }

    /** Starts the idle timeout, while the connection waits for the next request. */
    fun awaitRequest(context: ChannelHandlerContext) {
        if (!receiving) armIdle(context, idleSince = clock.instant())
    }

    /** The timeout may have grown since the connection became idle. */
    private fun armIdle(context: ChannelHandlerContext, idleSince: Instant) {
        val rest = Duration.between(clock.instant(), idleSince + options().idleTimeout)
        if (rest > Duration.ZERO) {
            arm(context, rest) { armIdle(context, idleSince) }
        } else {
            context.pipeline().fireUserEventTriggered(ReceiveTimeout.IDLE)
        }
    }

    private fun arm(context: ChannelHandlerContext, after: Duration, action: () -> Unit) {
        timeout?.cancel(false)
        timeout = context.executor().schedule(action, after.toNanos(), TimeUnit.NANOSECONDS)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timeout?.cancel(false)
        super.channelInactive(context)
    }
}
