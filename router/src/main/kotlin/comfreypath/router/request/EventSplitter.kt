package comfreypath.router.request

import java.io.ByteArrayOutputStream

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

/** A whole event of a stream, as it was received, with its separator; [id] is null if it carries none. */
class StreamEvent(val bytes: ByteArray, val id: Long?)

/** Splits the bytes of a `text/event-stream` into whole events and keeps what belongs to an incomplete one. */
class EventSplitter {
    private val rest = ByteArrayOutputStream()

    /** True while part of an event has arrived. */
    val partial: Boolean get() = rest.size() > 0

    /** Takes bytes in and returns the events that they complete. */
    fun feed(bytes: ByteArray): List<StreamEvent> {
        rest.writeBytes(bytes)
        val all = rest.toByteArray()
        val events = ArrayList<StreamEvent>()
        var start = 0
        var end = endOfEvent(all, start)
        while (end > 0) {
            events += StreamEvent(all.copyOfRange(start, end), idIn(all, start, end))
            start = end
            end = endOfEvent(all, start)
        }
        rest.reset()
        rest.write(all, start, all.size - start)
        return events
    }

    /** The index behind the blank line that ends the event at [start], or -1 while it has not arrived. */
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
