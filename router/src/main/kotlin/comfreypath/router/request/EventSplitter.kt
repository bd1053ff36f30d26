package comfreypath.router.request

import comfreypath.transport.MemoryBudget

private const val INITIAL_BUFFER_BYTES = 256
private const val MAX_IDLE_BUFFER_BYTES = 16_384
private const val MAX_EVENT_BYTES = 1_048_576

/** The length of "id:1" and two line feeds. */
private const val MIN_EVENT_WITH_ID_BYTES = 6
private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

/** A complete event of a stream as received, including the blank line that ends it; [id] is null if it has none. */
class StreamEvent(val bytes: ByteArray, val id: Long?) {
    /** True if the event has only comments, which keep an idle stream open, or is empty. */
    val isComment: Boolean
        get() = String(bytes, Charsets.ISO_8859_1).lineSequence().all { it.isBlank() || it.startsWith(":") }
}

/** Splits the bytes of a `text/event-stream` into complete events and buffers an incomplete one. */
class EventSplitter {
    private var buffer = ByteArray(INITIAL_BUFFER_BYTES)
    private var size = 0
    private var scanned = 0
    private var lineStart = 0

    /** True while an incomplete event is buffered. */
    val partial: Boolean get() = size > 0

    /** True once the incomplete event is longer than allowed. */
    val overflowed: Boolean get() = size > MAX_EVENT_BYTES

    /** The bytes that the incomplete event takes from a budget. */
    var reservedBytes = 0
        private set

    /** Takes the memory of the incomplete event from [memory], or gives it back; returns false if none is left. */
    fun reserve(memory: MemoryBudget.Account): Boolean {
        val growth = size - reservedBytes
        val fits = growth <= 0 || memory.add(growth)
        if (growth < 0) memory.remove(-growth)
        if (fits) reservedBytes = size
        return fits
    }

    /** The bytes that were moved within the buffer, a measure of the work. */
    internal var movedBytes = 0L
        private set

    /** Adds the received [bytes] from the index [from] to [to] and returns the events that they complete. */
    fun feed(bytes: ByteArray, from: Int = 0, to: Int = bytes.size): List<StreamEvent> {
        append(bytes, from, to)
        val events = ArrayList<StreamEvent>()
        var start = 0
        while (scanned < size) {
            val lineEnded = buffer[scanned] == LINE_FEED
            val blank = lineEnded && isBlankLine()
            scanned += 1
            if (lineEnded) {
                lineStart = scanned
            }
            if (blank) {
                events += StreamEvent(buffer.copyOfRange(start, scanned), idIn(buffer, start, scanned))
                start = scanned
            }
        }
        discard(start)
        return events
    }

    private fun append(bytes: ByteArray, from: Int, to: Int) {
        val count = to - from
        if (size + count > buffer.size) {
            buffer = buffer.copyOf(maxOf(size + count, 2 * buffer.size))
            movedBytes += size
        }
        bytes.copyInto(buffer, size, from, to)
        size += count
    }

    private fun isBlankLine(): Boolean =
        scanned == lineStart || scanned == lineStart + 1 && buffer[lineStart] == CARRIAGE_RETURN

    /** Drops the first [count] bytes; an event that is still incomplete is not moved for each part of it. */
    private fun discard(count: Int) {
        if (count == 0) return
        buffer.copyInto(buffer, 0, count, size)
        movedBytes += size - count
        size -= count
        scanned -= count
        lineStart -= count
        if (size == 0 && buffer.size > MAX_IDLE_BUFFER_BYTES) {
            buffer = ByteArray(INITIAL_BUFFER_BYTES)
        }
    }

    private fun idIn(bytes: ByteArray, start: Int, end: Int): Long? =
        if (end - start < MIN_EVENT_WITH_ID_BYTES) {
            null
        } else {
            String(bytes, start, end - start, Charsets.ISO_8859_1).lineSequence()
                .firstOrNull { it.startsWith("id:") }
                ?.removePrefix("id:")?.trim()?.toLongOrNull()
        }
}
