package comfreypath.router.request

import com.github.michaelbull.result.Result
import comfreypath.transport.IncomingRequest
import io.netty.handler.codec.http.HttpHeaders
import java.time.Instant

/** How callers put requests and how refusals are told to them: the adapter of one wire format. */
interface CallerDialect {
    /** Reads a request; the error says what is wrong with it. */
    fun read(request: IncomingRequest, receivedAt: Instant): Result<CallerRequest, Refusal>

    /** Writes a refusal of [request], which is null when it could not be read. */
    fun encode(refusal: Refusal, request: CallerRequest?): FullResponse
}

/** An answer with its whole body. */
class FullResponse(val status: Int, val headers: HttpHeaders, val body: ByteArray)
