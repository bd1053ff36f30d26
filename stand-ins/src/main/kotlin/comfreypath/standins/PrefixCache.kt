package comfreypath.standins

/** An engine's prefix cache: the tokens kept for each chat, the least recently used evicted first. */
class PrefixCache(private val capacityTokens: Long) {
    private val tokens = LinkedHashMap<String, Int>(INITIAL_CHATS, LOAD_FACTOR, true)

    /** The tokens kept now. */
    var totalTokens: Long = 0
        private set

    /** The tokens of the chat's prompt that need not be computed again; counts as a use. */
    fun cachedTokens(chat: String, promptTokens: Int): Int = minOf(tokens[chat] ?: 0, promptTokens)

    /** Keeps a chat's tokens and returns the chats that were evicted for it. */
    fun put(chat: String, chatTokens: Int): List<String> {
        totalTokens += chatTokens - (tokens.put(chat, chatTokens) ?: 0)
        val evicted = mutableListOf<String>()
        val oldest = tokens.entries.iterator()
        while (totalTokens > capacityTokens && oldest.hasNext()) {
            val entry = oldest.next()
            totalTokens -= entry.value
            evicted += entry.key
            oldest.remove()
        }
        return evicted
    }

    /** Forgets everything, as a restarted engine does. */
    fun clear() {
        tokens.clear()
        totalTokens = 0
    }

    private companion object {
        const val INITIAL_CHATS = 256
        const val LOAD_FACTOR = 0.75f
    }
}
