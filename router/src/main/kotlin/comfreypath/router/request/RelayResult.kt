package comfreypath.router.request

import comfreypath.coordination.model.EndpointName

/** The result of relaying a request. */
sealed interface RelayResult {
    /** A complete response, from [endpoint] or, if that is null, recorded earlier under the same idempotency key. */
    class Response(val response: FullResponse, val endpoint: EndpointName?) : RelayResult

    /** A stream that was already sent to the caller; truncated unless [complete]. */
    class Streamed(val complete: Boolean) : RelayResult

    /** A refusal that the caller has yet to receive. */
    class Refused(val refusal: Refusal) : RelayResult
}
