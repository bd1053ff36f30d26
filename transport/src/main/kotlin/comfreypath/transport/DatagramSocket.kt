package comfreypath.transport

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import java.io.IOException

private const val MAX_DATAGRAM_BYTES = 8_192
private const val MAX_DATAGRAMS_PER_READ = 256

/**
 * Sends and receives UDP datagrams on one event loop; [receive] is called with each datagram and its sender.
 *
 * Datagrams wait in the operating system until [readPending] is called, so that many of them cost one wake-up.
 */
class DatagramSocket(private val loop: EventLoop, private val receive: (ByteArray, Address) -> Unit) {
    private var channel: Channel? = null

    /** Binds to [address]; throws [IOException] on failure. */
    suspend fun start(address: Address) {
        val bound = Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel::class.java)
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.RECVBUF_ALLOCATOR, bufferSizes())
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

    /** Receives the datagrams that have arrived, or else the next ones. */
    fun readPending() {
        channel?.config()?.isAutoRead = true
    }

    /** Closes the socket. */
    fun stop() {
        channel?.close()
    }

    private fun bufferSizes() =
        FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES).maxMessagesPerRead(MAX_DATAGRAMS_PER_READ)

    private inner class Receiver : MessageHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            val bytes = ByteArray(packet.content().readableBytes())
            packet.content().readBytes(bytes)
            receive(bytes, Address(packet.sender().address.hostAddress, packet.sender().port))
        }

        override fun channelReadComplete(context: ChannelHandlerContext) {
            context.channel().config().isAutoRead = false
        }
    }
}
