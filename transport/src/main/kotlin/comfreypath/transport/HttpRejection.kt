package comfreypath.transport

import io.netty.handler.codec.http.HttpResponseStatus

/**
 * Why the server rejects a request before it reaches the handler, or after the handler fails.
 *
 * @property retryAfterSeconds when the client may send the request again; null if that is useless
 * @property detail a description for the caller
 */
enum class HttpRejection(
    internal val status: HttpResponseStatus,
    val detail: String,
    internal val retryAfterSeconds: Int? = null,
) {
    /** The bytes are not a well-formed HTTP/1.1 request, or too many requests are pipelined. */
    MALFORMED(HttpResponseStatus.BAD_REQUEST, "the request is not well-formed HTTP/1.1"),

    /** The request line or the headers exceed the limit. */
    HEADER_TOO_LARGE(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the headers are too long"),

    /** The body exceeds the limit. */
    BODY_TOO_LARGE(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long"),

    /** Other requests take up the memory; the request did not reach the handler. */
    OUT_OF_MEMORY(HttpResponseStatus.SERVICE_UNAVAILABLE, "no memory is left for the request", retryAfterSeconds = 1),

    /** The request was not complete within the receive timeout. */
    TOO_SLOW(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not arrive whole in time"),

    /** The handler returned or failed without starting a response. */
    HANDLER_FAILED(HttpResponseStatus.INTERNAL_SERVER_ERROR, "the server failed"),
}
