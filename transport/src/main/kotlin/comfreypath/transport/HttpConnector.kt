package comfreypath.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.ConnectException
import java.time.Duration

/**
 * Opens client connections on one event loop.
 *
 * @param memory the budget for the heads of responses, as a part of that for their bodies
 */
class HttpConnector(private val loop: EventLoop, memory: BodyMemory = BodyMemory.unlimited()) {
    private val headBudget = memory.responseBudget

    /** Opens a connection, waiting for at most [timeout]. */
    suspend fun connect(address: Address, timeout: Duration): Result<HttpConnection, ExchangeFailure.ConnectFailed> {
        var opened: HttpConnection? = null
        val connecting = Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout.toMillis().toInt())
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    lateinit var connection: HttpConnection
                    val heads = ResponseHeadMemory(headBudget)
                    val decoder = ResponseDecoder(heads) { connection.method }
                    connection = HttpConnection(channel, address, heads) { decoder.partial }
                    opened = connection
                    channel.pipeline()
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
