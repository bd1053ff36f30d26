package comfreypath.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.withTimeoutOrNull

/** A response whose head has arrived and whose body is read in chunks. */
class HttpExchange internal constructor(
    head: ResponsePart.Head,
    private val connection: HttpConnection,
    private val request: OutgoingRequest,
    private val onEnd: (connection: HttpConnection, complete: Boolean) -> Unit,
) {
    private var ended = false
    private var timedOut = false

    /** The HTTP status code. */
    val status: Int = head.status

    /** The response headers. */
    val headers: HttpHeaders = head.headers

    /**
     * Waits for the next part of the body, for at most the chunk timeout, and returns [ResponsePart.Aborted] if none
     * arrives in time. Releases the connection at the end of the body and closes it if no further part can be read.
     */
    suspend fun next(): ResponsePart {
        var part: ResponsePart? = null
        try {
            part = withTimeoutOrNull(request.chunkTimeout.toMillis()) { connection.next() }
        } finally {
            if (part == null) close()
        }
        timedOut = part == null
        when (part) {
            ResponsePart.End -> finish(complete = true)
            is ResponsePart.Aborted, is ResponsePart.Head -> close()
            is ResponsePart.Bytes, null -> Unit
        }
        return part ?: ResponsePart.Aborted(AbortReason.CLOSED)
    }

    /** Reads the complete body; closes the connection if the body is longer than the request allows. */
    suspend fun body(): Result<ByteArray, ExchangeFailure> {
        val body = BodyBuffer(request.maxBodyBytes, MemoryBudget.unlimited().open())
        var part = next()
        while (part is ResponsePart.Bytes && body.add(part.bytes) == BodyGrowth.ADDED) {
            part = next()
        }
        return when (part) {
            ResponsePart.End -> Ok(body.toByteArray())
            is ResponsePart.Bytes -> {
                close()
                Err(ExchangeFailure.BodyTooLong(request.maxBodyBytes))
            }
            is ResponsePart.Aborted, is ResponsePart.Head -> Err(
                if (timedOut) ExchangeFailure.TimedOut(sent = true) else ExchangeFailure.ConnectionLost(sent = true),
            )
        }
    }

    /** Closes the connection, unless the body has been read to its end. */
    fun close() = finish(complete = false)

    private fun finish(complete: Boolean) {
        if (!ended) {
            ended = true
            onEnd(connection, complete)
        }
    }
}

/** A response with its complete body. */
class ClientResponse(val status: Int, val headers: HttpHeaders, val body: ByteArray) {
    /** True for status codes 200 to 299. */
    val successful: Boolean get() = status in SUCCESSFUL_STATUSES

    /** The body decoded as UTF-8. */
    fun text(): String = body.decodeToString()

    private companion object {
        val SUCCESSFUL_STATUSES = 200..299
    }
}
