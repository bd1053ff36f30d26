package comfreypath.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.bootstrap.Bootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.ConnectException
import java.time.Duration

private const val MIN_READ = 64
private const val INITIAL_READ = 2_048

/** A connection whose response is not read holds one read more than it should. */
private const val MAX_READ = 16_384

/**
 * Opens client connections on one event loop.
 *
 * @param memory the budgets for the heads of responses, for what waits to be read of their bodies, and for connections
 */
class HttpConnector(private val loop: EventLoop, memory: BodyMemory = BodyMemory.unlimited()) {
    private val budget = memory.connections
    private val responseBudget = memory.responseBudget
    private val pace = memory.pace
    private val readSizes = AdaptiveRecvByteBufAllocator(MIN_READ, INITIAL_READ, MAX_READ)

    /** Opens a connection, waiting for at most [timeout]. */
    suspend fun connect(address: Address, timeout: Duration): Result<HttpConnection, ExchangeFailure.ConnectFailed> {
        var opened: HttpConnection? = null
        budget.makeRoom()
        val connecting = Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout.toMillis().toInt())
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    lateinit var connection: HttpConnection
                    val heads = ResponseHeadMemory(responseBudget)
                    val decoder = ResponseDecoder(heads) { connection.method }
                    val pacer = ReadPacer(channel, pace).apply { allocateWith(readSizes) }
                    connection = HttpConnection(channel, address, heads, ResponseQueue(responseBudget.open(), pacer)) {
                        decoder.partial
                    }
                    opened = connection
                    budget.add(channel)
                    channel.pipeline()
                        .addLast(pacer)
                        .addLast(RequestEncoder())
                        .addLast(decoder)
                        .addLast(connection)
                }
            })
            .connect(address.toSocketAddress())
        val connected = try {
            connecting.awaitSuccess()
        } catch (cancelled: kotlinx.coroutines.CancellationException) {
            connecting.channel().close()
            throw cancelled
        }
        val connection = opened
        return if (connected && connection != null) {
            Ok(connection)
        } else {
            val cause = connecting.cause()
            val refused = cause is ConnectException && cause !is ConnectTimeoutException
            Err(ExchangeFailure.ConnectFailed(address, cause?.message.orEmpty(), refused))
        }
    }
}
