package comfreypath.standins

/** An LRU cache of prompt prefixes, which holds the number of cached tokens of each chat. */
class PrefixCache(private val capacityTokens: Long) {
    private val tokens = LinkedHashMap<String, Int>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** The number of tokens of all chats. */
    var totalTokens: Long = 0
        private set

    /** The number of tokens of a chat's prompt that are cached. Marks the chat as recently used. */
    fun cachedTokens(chat: String, promptTokens: Int): Int = minOf(tokens[chat] ?: 0, promptTokens)

    /** Caches [chatTokens] tokens of a chat and returns the chats that were evicted. */
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

    /** Removes all chats. */
    fun clear() {
        tokens.clear()
        totalTokens = 0
    }

    private companion object {
        const val INITIAL_CAPACITY = 256
        const val LOAD_FACTOR = 0.75f
    }
}
