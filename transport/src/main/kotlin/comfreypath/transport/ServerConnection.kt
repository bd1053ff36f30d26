package comfreypath.transport

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import java.io.IOException
import java.time.Instant

private const val FIRST_REQUEST_MILLISECONDS = 500L

/** A connection is closed for another one only after this time without a response. */
private const val MIN_IDLE_MILLISECONDS = 500L

/** The other handlers in the pipeline of a [ServerConnection] that it uses. */
internal class PipelineHandlers(
    val gate: WriteGate,
    val timer: ReceiveTimer,
    val encoder: ResponseEncoder,
    val pacer: ReadPacer,
)

/** One server connection: assembles requests and adds them to its [RequestQueue]. */
internal class ServerConnection(
    private val environment: ServerEnvironment,
    private val pipeline: PipelineHandlers,
    private val memory: RequestMemory,
) : MessageHandler<HttpObject>(), UnfinishedRequest {
    private val aggregator =
        RequestAggregator({ environment.options().maxBodyBytes }, memory, pipeline.timer) { requests.empty }
    private lateinit var requests: RequestQueue
    private val openedAt = environment.clock.instant()
    private var used = false
    private lateinit var channel: Channel

    /** When the connection opened, or its latest response was complete. */
    var idleSince: Instant = openedAt
        private set

    /** True once the client has received a response. */
    var answered = false
        private set

    /** True if the connection has no complete request, and had the time to send one. */
    val replaceable: Boolean
        get() = requests.empty && requests.accepting &&
            environment.clock.instant() >= idleSince.plusMillis(MIN_IDLE_MILLISECONDS)

    /** True while a request has been received only partly. */
    val receiving: Boolean get() = pipeline.timer.receiving

    override val address: String get() = memory.address

    override val refusableBytes: Long get() = if (requests.accepting) memory.unfinishedBytes else 0

    override val receivingSince: Instant? get() = memory.receivingSince

    /** True while the first request may still be on its way. */
    private val justOpened: Boolean
        get() = !used && environment.clock.instant() < openedAt.plusMillis(FIRST_REQUEST_MILLISECONDS)

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
        environment.memory.unfinished.add(this)
        requests = RequestQueue(context, environment, pipeline) {
            answered = true
            idleSince = environment.clock.instant()
            if (environment.mayKeepAlive()) pipeline.timer.awaitRequest(context) else closeIfIdle()
            aggregator.proceed(context)
        }
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        used = true
        if (message is HttpContent) pipeline.pacer.count(message)
        if (!requests.accepting) {
            return
        }
        when (val aggregation = aggregator.add(context, message)) {
            Aggregation.Incomplete -> Unit
            is Aggregation.Rejected -> refuse(aggregation.rejection)
            is Aggregation.Complete -> requests.add(aggregation)
        }
    }

    private fun refuse(rejection: HttpRejection) {
        aggregator.discard()
        environment.onEvent(ServerEvent.RequestRejected(rejection))
        requests.reject(rejection)
    }

    override fun refuseUnfinished() {
        channel.pipeline().get(StrictRequestDecoder::class.java)?.drop()
        refuse(HttpRejection.OUT_OF_MEMORY)
        memory.close()
    }

    /** Closes the connection, which is [replaceable], for another one. */
    fun yieldToAnother() = requests.closeIfEmpty()

    /** Closes the connection unless a request is being received or handled, or the first one is about to come. */
    fun closeIfIdle() {
        if (!justOpened && !receiving) requests.closeIfEmpty()
    }

    /** Closes the connection and aborts its requests. */
    fun stop() = requests.stop()

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        when (event) {
            ReceiveTimeout.IDLE -> if (!receiving) requests.closeIfEmpty()
            InputOutOfMemory -> if (requests.accepting) refuseUnfinished()
            ReceiveTimeout.REQUEST -> if (requests.accepting) {
                aggregator.discard()
                requests.reject(HttpRejection.TOO_SLOW)
            }
            else -> super.userEventTriggered(context, event)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        environment.memory.unfinished.remove(this)
        aggregator.discard()
        memory.close()
        requests.cancel()
        super.channelInactive(context)
    }

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) environment.onEvent(ServerEvent.ConnectionFailed(cause))
        context.close()
    }
}
