package comfreypath.transport

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpObject

private const val FIRST_REQUEST_MILLISECONDS = 500L

/** The other handlers in the pipeline of a [ServerConnection] that it uses. */
internal class PipelineHandlers(val gate: WriteGate, val timer: ReceiveTimer, val encoder: ResponseEncoder)

/** One server connection: assembles requests and adds them to its [RequestQueue]. */
internal class ServerConnection(
    private val environment: ServerEnvironment,
    private val pipeline: PipelineHandlers,
) : MessageHandler<HttpObject>() {
    private val aggregator =
        RequestAggregator({ environment.options().maxBodyBytes }, environment.memory, pipeline.timer) { requests.empty }
    private lateinit var requests: RequestQueue
    private val openedAt = environment.clock.instant()
    private var used = false

    /** True while the first request may still be on its way. */
    private val justOpened: Boolean
        get() = !used && environment.clock.instant() < openedAt.plusMillis(FIRST_REQUEST_MILLISECONDS)

    override fun handlerAdded(context: ChannelHandlerContext) {
        requests = RequestQueue(context, environment, pipeline) {
            if (environment.mayKeepAlive()) pipeline.timer.awaitRequest(context) else closeIfIdle()
            aggregator.proceed(context)
        }
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        used = true
        if (!requests.accepting) {
            return
        }
        when (val aggregation = aggregator.add(context, message)) {
            Aggregation.Incomplete -> Unit
            is Aggregation.Rejected -> {
                aggregator.discard()
                environment.onEvent(ServerEvent.RequestRejected(aggregation.rejection))
                requests.reject(aggregation.rejection)
            }
            is Aggregation.Complete -> requests.add(aggregation)
        }
    }

    /** Closes the connection unless a request is being received or handled, or the first one is about to come. */
    fun closeIfIdle() {
        if (!justOpened) closeUnlessReceiving()
    }

    private fun closeUnlessReceiving() {
        if (!pipeline.timer.receiving) requests.closeIfEmpty()
    }

    /** Closes the connection and aborts its requests. */
    fun stop() = requests.stop()

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        when (event) {
            ReceiveTimeout.IDLE -> closeUnlessReceiving()
            ReceiveTimeout.REQUEST -> if (requests.accepting) {
                aggregator.discard()
                requests.reject(HttpRejection.TOO_SLOW)
            }
            else -> super.userEventTriggered(context, event)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        aggregator.discard()
        requests.cancel()
        super.channelInactive(context)
    }

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }
}
