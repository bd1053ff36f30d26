package comfreypath.transport

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** Writes one response: either with [respond], or with [start], any number of [writeChunk] calls, and [end]. */
interface ResponseWriter {
    /** True once the status line has been written or the connection has been aborted. */
    val started: Boolean

    /** Writes a complete response. */
    suspend fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteArray)

    /**
     * Writes the status and headers of a response whose body follows in chunks. Without a [length] in bytes, the
     * transfer encoding is chunked.
     */
    suspend fun start(status: HttpResponseStatus, headers: HttpHeaders, length: Long? = null)

    /** Writes and flushes a chunk of the body; suspends while the write buffer is full. */
    suspend fun writeChunk(bytes: ByteArray)

    /** Completes the body. */
    suspend fun end()

    /** Closes the connection, so that the receiver notices that the response is incomplete. */
    fun abort()
}

/** Writes a complete response with one value per header. */
suspend fun ResponseWriter.respond(status: HttpResponseStatus, headers: Map<String, String>, body: ByteArray) =
    respond(status, headersOf(headers), body)

/** Writes the status and headers of a chunked response with one value per header. */
suspend fun ResponseWriter.start(status: HttpResponseStatus, headers: Map<String, String>) =
    start(status, headersOf(headers))

private fun headersOf(values: Map<String, String>): HttpHeaders =
    DefaultHttpHeaders().also { headers -> values.forEach { (name, value) -> headers.set(name, value) } }
