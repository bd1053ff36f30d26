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

    /** What [timeout] is for; null while it is stopped. */
    private var armed: ReceiveTimeout? = null
    private var partReceivedAt = Instant.MIN

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

    /** Restarts the receive timeout after a part of a request. The timer is not set anew for each short part. */
    fun partReceived(context: ChannelHandlerContext) {
        receiving = true
        partReceivedAt = clock.instant()
        if (armed != ReceiveTimeout.REQUEST) {
            arm(context, ReceiveTimeout.REQUEST) { partReceivedAt + options().receiveTimeout }
        }
    }

    /** Stops the timeout, as for a request whose client has been told to wait. */
    fun hold() {
        timeout?.cancel(false)
        armed = null
    }

    /** Stops the timeout after a complete request, while the request is handled. */
    fun requestReceived() {
        receiving = false
        hold()
    }

    /** Starts the idle timeout, while the connection waits for the next request. */
    fun awaitRequest(context: ChannelHandlerContext) {
        val idleSince = clock.instant()
        if (!receiving) arm(context, ReceiveTimeout.IDLE) { idleSince + options().idleTimeout }
    }

    /** Fires [event] at the time that [deadline] returns, which may move while the timer runs. */
    private fun arm(context: ChannelHandlerContext, event: ReceiveTimeout, deadline: () -> Instant) {
        hold()
        val rest = Duration.between(clock.instant(), deadline())
        if (rest > Duration.ZERO) {
            armed = event
            val check = { arm(context, event, deadline) }
            timeout = context.executor().schedule(check, rest.toNanos(), TimeUnit.NANOSECONDS)
        } else {
            context.pipeline().fireUserEventTriggered(event)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timeout?.cancel(false)
        super.channelInactive(context)
    }
}
