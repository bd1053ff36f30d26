package comfreypath.standins

import comfreypath.openai.ChatCompletionChunk
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job

/** One completion that an engine stand-in generates; it can be read from any piece on, more than once. */
internal class Generation(val id: String) {
    private val chunks = mutableListOf<ChatCompletionChunk>()
    private var grown = CompletableDeferred<Unit>()

    /** The coroutine that generates. */
    var job: Job? = null

    /** How many readers there are now. */
    var readers: Int = 0

    /** True once a fault has cut one of its streams. */
    var wasCut: Boolean = false

    /** True once the last piece is there, or none will follow. */
    var ended: Boolean = false
        private set

    fun add(chunk: ChatCompletionChunk) {
        chunks += chunk
        wake()
    }

    fun end() {
        ended = true
        wake()
    }

    private fun wake() {
        val waiting = grown
        grown = CompletableDeferred()
        waiting.complete(Unit)
    }

    /** Waits for the piece with the given number; null when there is none. */
    suspend fun chunk(number: Int): ChatCompletionChunk? {
        while (number >= chunks.size && !ended) {
            grown.await()
        }
        return chunks.getOrNull(number)
    }
}
