package comfreypath.router.request

import java.time.Duration

/**
 * Why a caller gets no answer of an endpoint.
 *
 * @property detail one sentence for a person
 * @property retryAfter when another try may succeed; null when that is not known or trying again does not help
 */
data class Refusal(val code: RefusalCode, val detail: String, val retryAfter: Duration? = null)

/**
 * The reasons for a refusal.
 *
 * @property status the HTTP status; 408, 421, 429 and 503 promise that the request has not run and never will
 */
enum class RefusalCode(val status: Int, val text: String) {
    /** The request is not well-formed. */
    BAD_REQUEST(400, "bad_request"),

    /** The request needs a key and has none that a team holds. */
    UNKNOWN_KEY(401, "unknown_key"),

    /** No route leads from the request's host and path. */
    UNKNOWN_ROUTE(404, "unknown_route"),

    /** The router knows no configuration, or not surely the newest one. */
    NOT_READY(503, "not_ready"),

    /** No endpoint can take the request now. */
    NO_ENDPOINT(503, "no_endpoint"),

    /** Every endpoint that could run the request refused it. */
    OVERLOADED(503, "overloaded"),

    /** The wait ended before any endpoint took the request. */
    EXPIRED(503, "expired"),

    /** The request was sent, and the answer was lost. */
    ANSWER_LOST(502, "answer_lost"),

    /** The request was sent, and no answer came in time. */
    TIMED_OUT(504, "timed_out"),
}
