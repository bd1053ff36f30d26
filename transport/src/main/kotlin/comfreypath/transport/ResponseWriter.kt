package comfreypath.transport

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** Writes one response: either [respond], or [start], any number of pieces, and [end]. */
interface ResponseWriter {
    /** True once the status line has been written. */
    val started: Boolean

    /** Writes a response whose body is known. */
    suspend fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteArray)

    /** Writes the status and headers of a response whose body follows in pieces, chunked unless [length] is known. */
    suspend fun start(status: HttpResponseStatus, headers: HttpHeaders, length: Long? = null)

    /** Writes and flushes a piece of the body; suspends while the receiver is slow. */
    suspend fun writeChunk(bytes: ByteArray)

    /** Ends the body. */
    suspend fun end()

    /** Closes the connection, so that the receiver sees that the answer is not whole. */
    fun abort()
}

/** Writes a response whose body is known, with one value for each header. */
suspend fun ResponseWriter.respond(status: HttpResponseStatus, headers: Map<String, String>, body: ByteArray) =
    respond(status, headersOf(headers), body)

/** Writes the status and headers of a chunked response, with one value for each header. */
suspend fun ResponseWriter.start(status: HttpResponseStatus, headers: Map<String, String>) =
    start(status, headersOf(headers))

private fun headersOf(values: Map<String, String>): HttpHeaders =
    DefaultHttpHeaders().also { headers -> values.forEach { (name, value) -> headers.set(name, value) } }
