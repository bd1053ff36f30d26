package comfreypath.router.request

import java.io.ByteArrayOutputStream

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

/** A complete event of a stream as received, including the blank line that ends it; [id] is null if it has none. */
class StreamEvent(val bytes: ByteArray, val id: Long?)

/** Splits the bytes of a `text/event-stream` into complete events and buffers an incomplete one. */
class EventSplitter {
    private val buffer = ByteArrayOutputStream()

    /** True while an incomplete event is buffered. */
    val partial: Boolean get() = buffer.size() > 0

    /** Adds received bytes and returns the events that they complete. */
    fun feed(bytes: ByteArray): List<StreamEvent> {
        buffer.writeBytes(bytes)
        val all = buffer.toByteArray()
        val events = ArrayList<StreamEvent>()
        var start = 0
        var end = endOfEvent(all, start)
        while (end > 0) {
            events += StreamEvent(all.copyOfRange(start, end), idIn(all, start, end))
            start = end
            end = endOfEvent(all, start)
        }
        buffer.reset()
        buffer.write(all, start, all.size - start)
        return events
    }

    /** The index after the blank line that ends the event at [start], or -1 while that has not arrived. */
    private fun endOfEvent(bytes: ByteArray, start: Int): Int {
        var lineStart = start
        for (index in start until bytes.size) {
            if (bytes[index] == LINE_FEED) {
                val blank = index == lineStart || index == lineStart + 1 && bytes[lineStart] == CARRIAGE_RETURN
                if (blank) {
                    return index + 1
                }
                lineStart = index + 1
            }
        }
        return -1
    }

    private fun idIn(bytes: ByteArray, start: Int, end: Int): Long? =
        String(bytes, start, end - start, Charsets.ISO_8859_1).lineSequence()
            .firstOrNull { it.startsWith("id:") }
            ?.removePrefix("id:")?.trim()?.toLongOrNull()
}
