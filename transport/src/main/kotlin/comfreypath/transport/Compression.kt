package comfreypath.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.Deflater
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** The name of the gzip format in the headers `Accept-Encoding` and `Content-Encoding`. */
const val GZIP_ENCODING = "gzip"

/** Compresses [bytes] in the gzip format, with the fastest level. */
fun gzip(bytes: ByteArray): ByteArray = ByteArrayOutputStream().also { output ->
    FastGzipOutputStream(output).use { it.write(bytes) }
}.toByteArray()

/** Decompresses [bytes]; the error says why they can't be, which includes a length of over [maxBytes]. */
fun gunzip(bytes: ByteArray, maxBytes: Int): Result<ByteArray, String> = try {
    val body = GZIPInputStream(ByteArrayInputStream(bytes)).use { it.readNBytes(maxBytes + 1) }
    if (body.size > maxBytes) Err("the body is longer than $maxBytes bytes") else Ok(body)
} catch (malformed: IOException) {
    Err("the body can't be decompressed: ${malformed.message}")
}

private class FastGzipOutputStream(output: ByteArrayOutputStream) : GZIPOutputStream(output) {
    init {
        def.setLevel(Deflater.BEST_SPEED)
    }
}
