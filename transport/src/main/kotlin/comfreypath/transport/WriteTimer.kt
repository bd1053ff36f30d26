package comfreypath.transport

import io.netty.channel.ChannelHandlerContext
import io.netty.util.concurrent.Future
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Calls [onTimeout] when a client reads nothing of a complete response for [timeout]. */
internal class WriteTimer(
    private val context: ChannelHandlerContext,
    private val timeout: () -> Duration,
    private val onTimeout: () -> Unit,
) {
    private var waitingBytes = Long.MAX_VALUE
    private var check: Future<*>? = null

    /** Starts to watch the bytes that wait to be sent. */
    fun start() {
        waitingBytes = waiting()
        check = context.executor().schedule(::check, timeout().toMillis(), TimeUnit.MILLISECONDS)
    }

    /** Stops, because the response is written or the connection has closed. */
    fun stop() {
        check?.cancel(false)
    }

    private fun check() = if (waiting() < waitingBytes) start() else onTimeout()

    private fun waiting(): Long = context.channel().unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0
}
