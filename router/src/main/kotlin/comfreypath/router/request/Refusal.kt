package comfreypath.router.request

import java.time.Duration

/**
 * Why the router responds to a request instead of an endpoint.
 *
 * @property detail a human-readable explanation
 * @property retryAfter the time after which a retry may succeed; null if unknown or if a retry does not help
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

    /** The request needs a key but has none that belongs to a team. */
    UNKNOWN_KEY(status = 401, text = "unknown_key"),

    /** No route matches the request's host and path. */
    UNKNOWN_ROUTE(status = 404, text = "unknown_route"),

    /** The interface does not support the method. */
    WRONG_METHOD(status = 405, text = "wrong_method"),

    /** The idempotency key was used before for a different request. */
    KEY_REUSED(status = 422, text = "key_reused"),

    /** The first request with the idempotency key may have run, and its response is not known. */
    OUTCOME_UNKNOWN(status = 409, text = "outcome_unknown"),

    /** The idempotency key can't be claimed at the moment; the request is not run. */
    CLAIMS_UNAVAILABLE(status = 503, text = "claims_unavailable"),

    /** The router has no configuration, or can't confirm that it has the newest one. */
    NOT_READY(status = 503, text = "not_ready"),

    /** No endpoint is available, or none could be reached. */
    NO_ENDPOINT(status = 503, text = "no_endpoint"),

    /** Every endpoint of the service has asked for a pause or has announced that it leaves. */
    ALL_ENDPOINTS_OUT(status = 503, text = "all_endpoints_out"),

    /** The endpoints that could take the request take no more requests per second. */
    ENDPOINTS_LIMITED(status = 503, text = "endpoints_limited"),

    /** Every endpoint is full, or those that were tried refused the request. */
    OVERLOADED(status = 503, text = "overloaded"),

    /** A part of the request's prompt is suspected of crashing endpoints. */
    SUSPECTED_PART(status = 503, text = "suspected_part"),

    /** The request timed out before any endpoint accepted it. */
    EXPIRED(status = 503, text = "expired"),

    /** The request was sent, and the response was lost. */
    ANSWER_LOST(status = 502, text = "answer_lost"),

    /** The request was sent, and no response arrived in time. */
    TIMED_OUT(status = 504, text = "timed_out"),
    ;

    /** True when the request may have run. */
    val mayHaveRun: Boolean get() = this == ANSWER_LOST || this == TIMED_OUT || this == OUTCOME_UNKNOWN
}
