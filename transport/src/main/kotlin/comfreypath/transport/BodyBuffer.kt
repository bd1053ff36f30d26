package comfreypath.transport

import java.io.ByteArrayOutputStream

private const val BLOCK_BYTES = 16_384

/** What became of a chunk that was to be added to a [BodyBuffer]. */
enum class BodyGrowth {
    /** The chunk was added. */
    ADDED,

    /** The body would be longer than allowed. */
    TOO_LONG,

    /** No memory is left for the chunk. */
    OUT_OF_MEMORY,
}

/**
 * Collects the chunks of a body of at most [maxBytes], whose memory is taken from [account].
 *
 * The bytes are kept in blocks. A single array would have to be copied to grow, and hold up to twice the body.
 */
class BodyBuffer(private val maxBytes: Int, private val account: MemoryBudget.Account) {
    private val blocks = ArrayList<ByteArray>()
    private var last = ByteArrayOutputStream()

    /** The number of bytes collected so far. */
    var size: Int = 0
        private set

    /** Adds [chunk] if it fits. */
    fun add(chunk: ByteArray): BodyGrowth = when {
        chunk.size > maxBytes - size -> BodyGrowth.TOO_LONG
        !account.add(chunk.size) -> BodyGrowth.OUT_OF_MEMORY
        else -> {
            append(chunk)
            BodyGrowth.ADDED
        }
    }

    private fun append(chunk: ByteArray) {
        size += chunk.size
        last.writeBytes(chunk)
        if (last.size() >= BLOCK_BYTES) {
            blocks += last.toByteArray()
            last = ByteArrayOutputStream()
        }
    }

    /** Drops the bytes collected so far and gives their memory back. */
    fun discard() {
        account.remove(size)
        size = 0
        blocks.clear()
        last = ByteArrayOutputStream()
    }

    /** The bytes collected so far. */
    fun toByteArray(): ByteArray {
        val bytes = ByteArray(size)
        var position = 0
        (blocks + last.toByteArray()).forEach { block ->
            block.copyInto(bytes, position)
            position += block.size
        }
        return bytes
    }
}
