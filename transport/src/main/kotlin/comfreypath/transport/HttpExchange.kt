package comfreypath.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream

/** A response whose status has arrived and whose body is read piece by piece. */
class HttpExchange internal constructor(
    head: ResponsePart.Head,
    private val connection: HttpConnection,
    private val request: OutgoingRequest,
    private val end: (connection: HttpConnection, whole: Boolean) -> Unit,
) {
    private var ended = false
    private var timedOut = false

    /** The status code. */
    val status: Int = head.status

    /** The headers. */
    val headers: HttpHeaders = head.headers

    /** Waits for the next part of the body, at most the piece timeout; gives the connection back at the end. */
    suspend fun next(): ResponsePart {
        var part: ResponsePart? = null
        try {
            part = withTimeoutOrNull(request.chunkTimeout.toMillis()) { connection.next() }
        } finally {
            if (part == null) close()
        }
        timedOut = part == null
        when (part) {
            ResponsePart.End -> finish(whole = true)
            is ResponsePart.Aborted, is ResponsePart.Head -> close()
            is ResponsePart.Bytes, null -> Unit
        }
        return part ?: ResponsePart.Aborted(AbortReason.CLOSED)
    }

    /** Reads the whole body. */
    suspend fun body(): Result<ByteArray, ExchangeFailure> {
        val whole = ByteArrayOutputStream()
        while (true) {
            when (val part = next()) {
                is ResponsePart.Bytes -> whole.writeBytes(part.bytes)
                ResponsePart.End -> return Ok(whole.toByteArray())
                is ResponsePart.Aborted, is ResponsePart.Head -> return Err(
                    if (timedOut) {
                        ExchangeFailure.TimedOut(
                            sent = true
                        )
                    } else {
                        ExchangeFailure.ConnectionLost(sent = true)
                    },
                )
            }
        }
    }

    /** Closes the connection, unless the body has been read whole. */
    fun close() = finish(whole = false)

    private fun finish(whole: Boolean) {
        if (!ended) {
            ended = true
            end(connection, whole)
        }
    }
}

/** A response with its whole body. */
class FullResponse(val status: Int, val headers: HttpHeaders, val body: ByteArray) {
    /** True for the statuses 200 to 299. */
    val successful: Boolean get() = status in SUCCESSFUL_STATUSES

    /** The body as UTF-8. */
    fun text(): String = body.decodeToString()

    private companion object {
        val SUCCESSFUL_STATUSES = 200..299
    }
}
