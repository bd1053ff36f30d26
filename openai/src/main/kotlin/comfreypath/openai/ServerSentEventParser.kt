package comfreypath.openai

import java.io.ByteArrayOutputStream

/** Parses server-sent events from the bytes of a stream. Comments are skipped. */
class ServerSentEventParser {
    private val line = ByteArrayOutputStream()
    private val data = mutableListOf<String>()
    private var id: String? = null
    private var type: String? = null

    /** Adds the next bytes of the stream and returns the events that they complete. */
    fun feed(bytes: ByteArray): List<ServerSentEvent> {
        val events = mutableListOf<ServerSentEvent>()
        for (byte in bytes) {
            if (byte == LINE_FEED) {
                endLine()?.let { events += it }
            } else {
                line.write(byte.toInt())
            }
        }
        return events
    }

    private fun endLine(): ServerSentEvent? {
        val text = line.toString(Charsets.UTF_8).removeSuffix("\r")
        line.reset()
        if (text.isEmpty()) {
            return endEvent()
        }
        val value = text.substringAfter(':', "").removePrefix(" ")
        when (text.substringBefore(':')) {
            "data" -> data += value
            "id" -> id = value
            "event" -> type = value
        }
        return null
    }

    private fun endEvent(): ServerSentEvent? {
        if (data.isEmpty()) {
            return null
        }
        val event = ServerSentEvent(data.joinToString("\n"), id, type)
        data.clear()
        id = null
        type = null
        return event
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
    }
}
