package comfreypath.transport

import io.netty.handler.codec.http.HttpHeaders

/** What arrives on a client connection, in the order in which it arrives. */
sealed interface ResponsePart {
    /** The status line and headers of a final response. */
    class Head(val status: Int, val headers: HttpHeaders) : ResponsePart

    /** Bytes of the body. */
    class Bytes(val bytes: ByteArray) : ResponsePart

    /** The response is complete. */
    data object End : ResponsePart

    /** Nothing more will come. */
    data class Aborted(val reason: AbortReason) : ResponsePart
}

/** Why a connection brings nothing more. */
enum class AbortReason {
    /** The other end closed the connection before the response was complete. */
    CLOSED,

    /** The connection was reset. */
    RESET,

    /** The bytes are not an HTTP/1.1 response. */
    MALFORMED,
}
