package comfreypath.transport

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpContent
import kotlinx.coroutines.channels.Channel as Queue

private const val HIGH_WATERMARK_PARTS = 256
private const val HIGH_WATERMARK_BYTES = 65_536

/** What a part that waits holds beside its bytes. */
private const val PART_OVERHEAD_BYTES = 64

/**
 * The parts of responses on one connection that wait to be read, in the order of arrival.
 *
 * Chunks that arrive by one read are joined, so that what waits, and the work of those who read it, depends on the
 * bytes and not on the number of chunks.
 *
 * @property memory holds the parts
 * @property pacer is held while too much waits
 */
internal class ResponseQueue(private val memory: MemoryBudget.Account, val pacer: ReadPacer) {
    private val parts = Queue<ResponsePart>(Queue.UNLIMITED)
    private var bytes = 0

    /** The chunks that have arrived by the read in progress. */
    private var joined = EMPTY
    private var joinedSize = 0

    /** The number of parts that wait, of which an unfinished read has none. */
    var size = 0
        private set

    /** True while nothing waits. */
    val empty: Boolean get() = size == 0 && joinedSize == 0

    private val full: Boolean
        get() = size >= HIGH_WATERMARK_PARTS || bytes >= HIGH_WATERMARK_BYTES || memory.exceedsShare

    /** Adds a chunk of a body. */
    fun addContent(content: HttpContent) {
        val chunk = content.content()
        val count = chunk.readableBytes()
        pacer.count(content)
        if (count > 0) {
            join(chunk, count)
            bytes += count
            memory.hold(count)
        }
        holdIfFull()
    }

    private fun join(chunk: ByteBuf, count: Int) {
        if (joinedSize + count > joined.size) {
            joined = joined.copyOf(if (joinedSize == 0) count else maxOf(joinedSize + count, 2 * joined.size))
        }
        chunk.readBytes(joined, joinedSize, count)
        joinedSize += count
    }

    /** Adds a part that is not a chunk. */
    fun add(part: ResponsePart) {
        endRead()
        enqueue(part)
    }

    /** Passes on the chunks that have arrived by a read. */
    fun endRead() {
        if (joinedSize > 0) {
            val chunk = if (joinedSize == joined.size) joined else joined.copyOf(joinedSize)
            joined = EMPTY
            joinedSize = 0
            enqueue(ResponsePart.Bytes(chunk))
        }
    }

    private fun enqueue(part: ResponsePart) {
        size += 1
        memory.hold(PART_OVERHEAD_BYTES)
        parts.trySend(part)
        holdIfFull()
    }

    /** Adds [last], after which nothing follows. */
    fun close(last: ResponsePart) {
        endRead()
        parts.trySend(last)
        parts.close()
    }

    /** Waits for the next part; null once the queue is closed and empty. */
    suspend fun next(): ResponsePart? {
        val part = parts.receiveCatching().getOrNull()
        if (part != null && part !is ResponsePart.Aborted) {
            val count = (part as? ResponsePart.Bytes)?.bytes?.size ?: 0
            size -= 1
            bytes -= count
            memory.remove(count + PART_OVERHEAD_BYTES)
            if (!full) pacer.held = false
        }
        return part
    }

    /** Gives the memory back once the connection has closed. */
    fun release() = memory.close()

    private fun holdIfFull() {
        if (full) pacer.held = true
    }

    private companion object {
        val EMPTY = ByteArray(0)
    }
}
