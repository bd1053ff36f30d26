package comfreypath.transport

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import java.io.IOException
import java.net.InetSocketAddress

private const val ACCEPT_BACKLOG = 1_024

/**
 * An HTTP/1.1 server whose connections and handlers all run on one event loop.
 *
 * @param options gives the limits for a connection when it opens, so that they can change while the server runs
 */
class HttpServer(
    private val loop: EventLoop,
    private val options: () -> HttpServerOptions,
    private val handler: suspend (IncomingRequest, ResponseWriter) -> Unit,
) {
    private val connections = DefaultChannelGroup(loop)
    private val scope = CoroutineScope(loop.dispatcher() + SupervisorJob())
    private var listener: Channel? = null

    constructor(
        loop: EventLoop,
        options: HttpServerOptions,
        handler: suspend (IncomingRequest, ResponseWriter) -> Unit,
    ) : this(loop, { options }, handler)

    /** While true, each response closes its connection, so that callers go elsewhere. */
    var closeAfterResponse: Boolean = false

    /** The connections that are open. */
    val connectionCount: Int get() = connections.size

    /** Listens on [address] (port 0 for any free one) and returns the address in use; throws [IOException] if taken. */
    suspend fun start(address: Address): Address {
        val bound = ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(Initializer())
            .bind(address.toSocketAddress())
        if (!bound.succeeded()) {
            throw IOException("cannot listen on $address: ${bound.cause().message}", bound.cause())
        }
        listener = bound.channel()
        val local = bound.channel().localAddress() as InetSocketAddress
        return Address(address.host, local.port)
    }

    /** Closes the listener; open connections go on. */
    suspend fun stopAccepting() {
        listener?.close()?.succeeded()
    }

    /** Closes the connections that carry no request. */
    fun closeIdle() {
        connections.mapNotNull { it.pipeline().get(ServerConnection::class.java) }.forEach { it.closeIfIdle() }
    }

    /** Closes the listener and every connection, cutting what is in progress. */
    suspend fun stop() {
        stopAccepting()
        connections.close().succeeded()
        scope.cancel()
    }

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val limits = options()
            if (connections.size >= limits.maxConnections) {
                channel.close()
                return
            }
            connections.add(channel)
            val gate = WriteGate()
            val timer = ReceiveTimer(limits)
            channel.pipeline()
                .addLast(timer)
                .addLast(StrictRequestDecoder(limits.maxHeaderBytes))
                .addLast(HttpResponseEncoder())
                .addLast(gate)
                .addLast(
                    ServerConnection(scope, limits, { !closeAfterResponse }, ConnectionParts(gate, timer), handler)
                )
        }
    }
}

/** Rejects a request that has both a length and a chunked body, since two readers could split it differently. */
private class StrictRequestDecoder(headerBytes: Int) :
    HttpRequestDecoder(HttpDecoderConfig().setMaxHeaderSize(headerBytes).setMaxInitialLineLength(headerBytes)) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("both Transfer-Encoding and Content-Length")
    }
}
