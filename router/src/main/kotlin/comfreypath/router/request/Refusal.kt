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
    BAD_INPUT(status = 400, text = "bad_input"),

    /** The request needs a key and has none that a team holds. */
    UNKNOWN_KEY(status = 401, text = "unknown_key"),

    /** No route leads from the request's host and path. */
    UNKNOWN_ROUTE(status = 404, text = "unknown_route"),

    /** The interface does not take the method. */
    WRONG_METHOD(status = 405, text = "wrong_method"),

    /** The idempotency key was used before with another request. */
    KEY_REUSED(status = 422, text = "key_reused"),

    /** The first request with the idempotency key may have run, and its answer is not known. */
    OUTCOME_UNKNOWN(status = 409, text = "outcome_unknown"),

    /** The idempotency key can't be claimed now, so that the request is not run. */
    CLAIMS_UNAVAILABLE(status = 503, text = "claims_unavailable"),

    /** The router knows no configuration, or not surely the newest one. */
    NOT_READY(status = 503, text = "not_ready"),

    /** No endpoint can take the request now. */
    NO_ENDPOINT(status = 503, text = "no_endpoint"),

    /** Every endpoint that could run the request refused it. */
    OVERLOADED(status = 503, text = "overloaded"),

    /** The wait ended before any endpoint took the request. */
    EXPIRED(status = 503, text = "expired"),

    /** The request was sent, and the answer was lost. */
    ANSWER_LOST(status = 502, text = "answer_lost"),

    /** The request was sent, and no answer came in time. */
    TIMED_OUT(status = 504, text = "timed_out"),
    ;

    /** True when the request may have run. */
    val mayHaveRun: Boolean get() = this == ANSWER_LOST || this == TIMED_OUT || this == OUTCOME_UNKNOWN
}
