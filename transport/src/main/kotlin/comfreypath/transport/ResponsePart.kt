package comfreypath.transport

import io.netty.handler.codec.http.HttpHeaders

/** A part of a response on a client connection. Parts are received in the order of arrival. */
sealed interface ResponsePart {
    /** The status line and headers of a final response. */
    class Head(val status: Int, val headers: HttpHeaders) : ResponsePart

    /** A chunk of the body. */
    class Bytes(val bytes: ByteArray) : ResponsePart

    /** The response is complete. */
    data object End : ResponsePart

    /** The connection ended or failed; no further parts follow. */
    data class Aborted(val reason: AbortReason) : ResponsePart
}

/** Why a connection yields no further parts. */
enum class AbortReason {
    /** The server closed the connection before the response was complete. */
    CLOSED,

    /** The connection was reset. */
    RESET,

    /** The bytes are not an HTTP/1.1 response. */
    MALFORMED,

    /** The status line, the headers, or the lines between chunks are longer than allowed. */
    FRAMING_TOO_LONG,

    /** More interim responses arrived than allowed. */
    TOO_MANY_INTERIM_RESPONSES,

    /** No memory is left for the headers. */
    OUT_OF_MEMORY,
}
