package comfreypath.openai

/**
 * One server-sent event, after the HTML standard.
 *
 * @property id the event's identity, or null
 * @property event the event's type; null for an ordinary message
 * @property data the event's data, its lines joined by line feeds
 */
data class ServerSentEvent(val data: String, val id: String? = null, val event: String? = null) {
    /** The event as bytes, ready to be sent. */
    fun encode(): ByteArray {
        val text = StringBuilder()
        if (id != null) {
            text.append("id: ").append(id).append('\n')
        }
        if (event != null) {
            text.append("event: ").append(event).append('\n')
        }
        data.lineSequence().forEach { text.append("data: ").append(it).append('\n') }
        return text.append('\n').toString().encodeToByteArray()
    }

    companion object {
        /** The comment that shows that a stream is alive. */
        val KEEP_ALIVE: ByteArray = ": keep-alive\n\n".encodeToByteArray()

        /** The data of the event that ends a stream of the OpenAI API. */
        const val DONE = "[DONE]"
    }
}
