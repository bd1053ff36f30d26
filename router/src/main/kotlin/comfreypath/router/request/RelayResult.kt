package comfreypath.router.request

import comfreypath.coordination.model.EndpointName

/** What came of a request. */
sealed interface RelayResult {
    /** The caller gets a whole answer, of [endpoint] or, if that is null, one that was recorded earlier. */
    class Response(val response: FullResponse, val endpoint: EndpointName?) : RelayResult

    /** The caller has got a stream, whole or cut off. */
    class Streamed(val complete: Boolean) : RelayResult

    /** The caller gets a refusal. */
    class Refused(val refusal: Refusal) : RelayResult
}
