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
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponseDecoder
import java.net.ConnectException
import java.time.Duration

private const val MAX_HEADER_BYTES = 65_536

/** Opens client connections on one event loop. */
class HttpConnector(private val loop: EventLoop) {
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
                    val connection = HttpConnection(channel, address)
                    opened = connection
                    channel.pipeline()
                        .addLast(HttpRequestEncoder())
                        .addLast(MethodAwareDecoder { connection.method })
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

/** Treats the response to a HEAD request as having no body, whatever its headers say. */
private class MethodAwareDecoder(private val method: () -> HttpMethod) :
    HttpResponseDecoder(
        HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES).setMaxInitialLineLength(MAX_HEADER_BYTES),
    ) {
    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        method() == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
}
