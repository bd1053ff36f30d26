package comfreypath.standins

import comfreypath.openai.ChatCompletionChunk
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job

/** One completion of an engine stand-in. Any number of readers can read it from any chunk on. */
internal class Generation(val id: String) {
    private val chunks = mutableListOf<ChatCompletionChunk>()
    private var nextChange = CompletableDeferred<Unit>()

    /** The coroutine that generates the chunks. */
    var job: Job? = null

    /** The current number of readers. */
    var readerCount: Int = 0

    /** True once a fault has aborted one of its streams. */
    var wasAborted: Boolean = false

    /** True once no further chunk will follow. */
    var ended: Boolean = false
        private set

    fun add(chunk: ChatCompletionChunk) {
        chunks += chunk
        notifyReaders()
    }

    fun end() {
        ended = true
        notifyReaders()
    }

    private fun notifyReaders() {
        val change = nextChange
        nextChange = CompletableDeferred()
        change.complete(Unit)
    }

    /** Waits for the chunk at [index]; returns null if the completion ends before it. */
    suspend fun awaitChunk(index: Int): ChatCompletionChunk? {
        while (index >= chunks.size && !ended) {
            nextChange.await()
        }
        return chunks.getOrNull(index)
    }
}
