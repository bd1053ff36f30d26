package comfreypath.transport

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.RecvByteBufAllocator
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Shorter parts are counted. Longer ones, and the heads and ends of messages, are few for their bytes. */
private const val SHORT_PART_BYTES = 64

/** The short parts that each connection may send; a stream has a few for each of its events. */
private const val FREE_PARTS_PER_SECOND = 1_000L
private const val MAX_FREE_PARTS = 512

/** The short parts of one read after which the reads of a connection are made smaller. */
private const val MAX_PARTS_PER_READ = 256
private const val MIN_READ_BYTES = 512

/**
 * Decides when one connection is read, and how much at a time: nothing while what has arrived waits, and less and later
 * while it arrives in many short parts, see [PartPace]. Precedes the decoder in the pipeline.
 */
class ReadPacer internal constructor(
    private val channel: Channel,
    private val pace: PartPace,
    private val nanoTime: () -> Long = System::nanoTime,
) : ChannelInboundHandlerAdapter() {
    private var parts = 0
    private var freeParts = MAX_FREE_PARTS
    private var earnedAt = nanoTime()
    private var paused = false

    /** The most that the next read may take, so that it holds a bounded number of parts. */
    private var maxReadBytes = Int.MAX_VALUE

    /** True while what has arrived waits to be handled, so that nothing more is read. */
    internal var held = false
        set(value) {
            field = value
            update()
        }

    override fun isSharable(): Boolean = false

    /** Uses [sizes] for the reads of the channel, within the limits of this pacer. */
    internal fun allocateWith(sizes: AdaptiveRecvByteBufAllocator) {
        channel.config().setRecvByteBufAllocator(RecvByteBufAllocator { Handle(sizes.newHandle()) })
    }

    /** Counts a part of a body if it is short. */
    internal fun count(content: HttpContent) {
        if (content !is LastHttpContent && content.content().readableBytes() < SHORT_PART_BYTES) parts += 1
    }

    /** Counts [parts] that were found within what has arrived, such as short events of a stream. */
    fun count(parts: Int) {
        this.parts += parts
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val bytes = (message as ByteBuf).readableBytes()
        val before = parts
        super.channelRead(context, message)
        val arrived = parts - before
        maxReadBytes = when {
            arrived <= MAX_PARTS_PER_READ / 2 -> Int.MAX_VALUE
            else -> maxOf(MIN_READ_BYTES, bytes * MAX_PARTS_PER_READ / arrived)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        super.channelReadComplete(context)
        val pause = settle()
        if (pause > Duration.ZERO && !paused) {
            paused = true
            update()
            context.executor().schedule(::resume, pause.toNanos(), TimeUnit.NANOSECONDS)
        }
    }

    private fun resume() {
        paused = false
        update()
    }

    /** Takes the parts that were counted from what is free; returns the pause for the others. */
    private fun settle(): Duration {
        val earned = (nanoTime() - earnedAt) / NANOSECONDS_PER_FREE_PART
        earnedAt += earned * NANOSECONDS_PER_FREE_PART
        freeParts = minOf(MAX_FREE_PARTS.toLong(), freeParts + earned).toInt()
        val free = minOf(parts, freeParts)
        val charged = parts - free
        freeParts -= free
        parts = 0
        return if (charged > 0) pace.charge(charged) else Duration.ZERO
    }

    private fun update() {
        if (channel.isActive) channel.config().isAutoRead = !held && !paused
    }

    private inner class Handle(sizes: RecvByteBufAllocator.Handle) : RecvByteBufAllocator.DelegatingHandle(sizes) {
        override fun allocate(allocator: ByteBufAllocator): ByteBuf =
            if (guess() <= maxReadBytes) super.allocate(allocator) else allocator.ioBuffer(maxReadBytes)

        override fun continueReading(): Boolean = parts < MAX_PARTS_PER_READ && super.continueReading()
    }

    private companion object {
        val NANOSECONDS_PER_FREE_PART = Duration.ofSeconds(1).toNanos() / FREE_PARTS_PER_SECOND
    }
}
