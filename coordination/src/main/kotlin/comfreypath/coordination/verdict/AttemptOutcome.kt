package comfreypath.coordination.verdict

import java.time.Duration

/** The result of sending a request to an endpoint. It determines whether the request may have run. */
sealed interface AttemptOutcome {
    /**
     * No byte of the request was sent.
     *
     * @property endpointFailed false if the reason lies with the caller or its time, so that it shows nothing about the
     * endpoint
     */
    data class NotSent(val reason: String, val endpointFailed: Boolean = true) : AttemptOutcome {
        override fun toString(): String = "NotSent(reason=$reason)"
    }

    /** No byte was sent, since the endpoint had announced meanwhile that it takes no request now, or any more. */
    data object Withheld : AttemptOutcome

    /** The endpoint refused the request: it has not run it and never will. */
    data class NotRun(val status: Int, val retryAfter: Duration?) : AttemptOutcome

    /** The address now belongs to another endpoint, which has not run the request. */
    data object WrongEndpoint : AttemptOutcome

    /** The request was sent but no complete response arrived, so it may have run. */
    data class Unknown(val reason: UnknownReason) : AttemptOutcome

    /** The endpoint sent a complete response, which can be passed on unchanged. */
    data class Answered(val status: Int) : AttemptOutcome
}

/** Why it is unknown whether a request ran. */
enum class UnknownReason {
    /** The connection was closed or reset before the response was complete. */
    CONNECTION_LOST,

    /** The received bytes are not a valid response. */
    MALFORMED,

    /** The status line, the headers, or the lines between chunks were longer than allowed. */
    FRAMING_TOO_LONG,

    /** More interim responses arrived than allowed. */
    TOO_MANY_INTERIM_RESPONSES,

    /** More arrived that belongs to other requests than allowed. */
    TOO_MUCH_FOREIGN,

    /** A refusal without the request's ID, which may be a copy of an earlier one, arrived on a kept connection. */
    UNIDENTIFIED_REFUSAL,

    /** A status that tells callers "not run" arrived without the endpoint's statement that it has not run. */
    UNMARKED_REFUSAL,

    /** The body was longer than allowed. */
    BODY_TOO_LONG,

    /** No memory was left for the body or for an event. */
    OUT_OF_MEMORY,

    /** An event of a stream was longer than allowed. */
    EVENT_TOO_LONG,

    /** The response was ended within an event of a stream. */
    TRUNCATED,

    /** The response does not continue the stream that has begun. */
    NO_CONTINUATION,

    /** The endpoint sent nothing at all for a while, and the request left it for another one. */
    STALLED,

    /** The endpoint sent nothing for this request, but responded to others, and the request left it for another one. */
    SLOW,

    /** No complete response arrived before the deadline. */
    TIMED_OUT,
}
