package comfreypath.transport

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import java.io.IOException

/** Sends and receives UDP datagrams on one event loop; [receive] is called with each datagram and its sender. */
class DatagramSocket(private val loop: EventLoop, private val receive: (ByteArray, Address) -> Unit) {
    private var channel: Channel? = null

    /** Binds to [address]; throws [IOException] on failure. */
    suspend fun start(address: Address) {
        val bound = Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel::class.java)
            .handler(Receiver())
            .bind(address.toSocketAddress())
        if (!bound.awaitSuccess()) {
            throw IOException("cannot receive datagrams on $address: ${bound.cause().message}", bound.cause())
        }
        channel = bound.channel()
    }

    /** Sends [bytes] to [target]. Delivery is not guaranteed and losses are not reported. */
    fun send(target: Address, bytes: ByteArray) {
        channel?.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), target.toSocketAddress()))
    }

    /** Closes the socket. */
    fun stop() {
        channel?.close()
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            val bytes = ByteArray(packet.content().readableBytes())
            packet.content().readBytes(bytes)
            receive(bytes, Address(packet.sender().address.hostAddress, packet.sender().port))
        }
    }
}
