package comfreypath.router.request

import com.github.michaelbull.result.Result
import comfreypath.transport.IncomingRequest
import io.netty.handler.codec.http.HttpHeaders
import java.time.Instant

/** Adapter of one wire format that callers use: reads requests and encodes refusals. */
interface CallerDialect {
    /** Reads a request; the error is the refusal of a malformed one. */
    fun read(request: IncomingRequest, receivedAt: Instant): Result<CallerRequest, Refusal>

    /** Encodes the refusal of [request], which is null when it could not be read. */
    fun encode(refusal: Refusal, request: CallerRequest?): FullResponse
}

/** A response with its complete body. */
class FullResponse(val status: Int, val headers: HttpHeaders, val body: ByteArray)
