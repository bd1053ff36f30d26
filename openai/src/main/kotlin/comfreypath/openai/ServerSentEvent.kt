package comfreypath.openai

/**
 * One server-sent event, as defined by the HTML standard.
 *
 * @property id the event's ID; null if it has none
 * @property event the event's type; null for the default type `message`
 * @property data the event's data, its lines joined by line feeds
 */
data class ServerSentEvent(val data: String, val id: String? = null, val event: String? = null) {
    /** Encodes the event for the response body. */
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
        /** A comment that keeps an idle stream open. */
        val KEEP_ALIVE: ByteArray = ": keep-alive\n\n".encodeToByteArray()

        /** The data of the event that ends a stream of the OpenAI API. */
        const val DONE = "[DONE]"
    }
}
