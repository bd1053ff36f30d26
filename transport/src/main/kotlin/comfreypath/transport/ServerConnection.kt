package comfreypath.transport

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpObject

/** The other handlers in the pipeline of a [ServerConnection] that it uses. */
internal class PipelineHandlers(val gate: WriteGate, val timer: ReceiveTimer)

/** One server connection: assembles requests and adds them to its [RequestQueue]. */
internal class ServerConnection(
    private val environment: ServerEnvironment,
    private val pipeline: PipelineHandlers,
) : MessageHandler<HttpObject>() {
    private val aggregator =
        RequestAggregator({ environment.options().maxBodyBytes }, environment.memory, pipeline.timer)
    private lateinit var requests: RequestQueue

    override fun handlerAdded(context: ChannelHandlerContext) {
        requests = RequestQueue(context, environment, pipeline) {
            if (environment.mayKeepAlive()) pipeline.timer.awaitRequest(context) else closeIfIdle()
        }
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
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

    /** Closes the connection unless a request is being received or handled. */
    fun closeIfIdle() {
        if (!pipeline.timer.receiving) requests.closeIfEmpty()
    }

    /** Closes the connection and aborts its requests. */
    fun stop() = requests.stop()

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        when (event) {
            ReceiveTimeout.IDLE -> closeIfIdle()
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
