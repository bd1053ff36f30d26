package comfreypath.transport

import io.netty.handler.codec.http.HttpResponseStatus

/**
 * Why the server refused a request before any handler saw it.
 *
 * @property detail one sentence for a person
 */
enum class HttpRejection(internal val status: HttpResponseStatus, val detail: String) {
    /** The bytes are not one well-formed HTTP/1.1 request. */
    MALFORMED(HttpResponseStatus.BAD_REQUEST, "the request is not well-formed HTTP/1.1"),

    /** The header lines are longer than allowed. */
    HEADER_TOO_LARGE(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the headers are too long"),

    /** The body is longer than allowed. */
    BODY_TOO_LARGE(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long"),

    /** The request did not arrive whole in time. */
    TOO_SLOW(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not arrive whole in time"),

    /** The handler failed without an answer. */
    HANDLER_FAILED(HttpResponseStatus.INTERNAL_SERVER_ERROR, "the server failed"),
}
