package comfreypath.transport

import java.io.ByteArrayOutputStream

/** Collects the chunks of a body of at most [maxBytes]. */
class BodyBuffer(private val maxBytes: Int) {
    private val bytes = ByteArrayOutputStream()

    /** Adds [chunk]; returns false, and adds nothing, if the body would be longer than allowed. */
    fun add(chunk: ByteArray): Boolean {
        val fits = chunk.size <= maxBytes - bytes.size()
        if (fits) {
            bytes.writeBytes(chunk)
        }
        return fits
    }

    /** The bytes collected so far. */
    fun toByteArray(): ByteArray = bytes.toByteArray()
}
