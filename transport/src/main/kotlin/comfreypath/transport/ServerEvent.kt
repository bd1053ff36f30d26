package comfreypath.transport

import java.io.IOException
import java.time.Duration

/** What an [HttpServer] reports about its requests and connections. */
sealed interface ServerEvent {
    /** A request was read completely. Exactly one [ResponseWritten] or [RequestUnanswered] follows for it. */
    data object RequestRead : ServerEvent

    /** The last byte of a response was written to the connection. */
    data object ResponseWritten : ServerEvent

    /**
     * A request that was read completely has no complete response.
     *
     * @property age the time since the request was read
     * @property responseBegun whether a part of the response was written
     * @property cause the failure that ended the exchange; null if there was none
     */
    data class RequestUnanswered(
        val request: IncomingRequest,
        val reason: UnansweredReason,
        val age: Duration,
        val responseBegun: Boolean,
        val cause: Throwable?,
    ) : ServerEvent

    /** The handler of [request] failed with an exception. */
    data class HandlerFailed(val request: IncomingRequest, val failure: Throwable) : ServerEvent

    /** A connection was closed because its input could not be handled; [failure] is not an error of the network. */
    data class ConnectionFailed(val failure: Throwable) : ServerEvent

    /** A request was rejected because of [rejection] before it was read completely. */
    data class RequestRejected(val rejection: HttpRejection) : ServerEvent

    /** A connection was closed, the new one or one without a request, because [openConnections] is the maximum. */
    data class ConnectionRefused(val openConnections: Int) : ServerEvent
}

/** Why a request that was read completely has no complete response. */
enum class UnansweredReason {
    /** The client closed or reset the connection. */
    CLIENT_CLOSED,

    /** A write of the response failed although the connection was open. */
    WRITE_FAILED,

    /** The client read nothing of the response for too long. */
    WRITE_TIMED_OUT,

    /** The handler aborted the response. */
    RESPONSE_ABORTED,

    /** The handler ended before its response was complete. */
    HANDLER_FAILED,

    /** The request was pipelined after a request whose response closed the connection. */
    CLOSED_AFTER_RESPONSE,

    /** The server stopped. */
    SERVER_STOPPED,
    ;

    internal companion object {
        /**
         * Why a write failed with [cause]. Writes to a closed connection fail with an [IOException], and may do so
         * before the close itself is noticed; [ownReason] is null unless this server has closed the connection.
         */
        fun ofFailedWrite(cause: Throwable, ownReason: UnansweredReason?): UnansweredReason =
            if (cause is IOException) ownReason ?: CLIENT_CLOSED else WRITE_FAILED
    }
}
