package comfreypath.coordination.verdict

import comfreypath.coordination.model.RequestId
import java.time.Duration
import java.time.Instant

private const val REQUEST_TIMEOUT = 408
private const val MISDIRECTED_REQUEST = 421
private const val TOO_MANY_REQUESTS = 429
private const val SERVICE_UNAVAILABLE = 503

/** The statuses by which callers are told that a request has not run. */
private val PROMISING_STATUSES = setOf(REQUEST_TIMEOUT, MISDIRECTED_REQUEST, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE)

private const val FRESH_AFTER_REFUSAL_SECONDS = 10L

/** Whether a response that arrives on a connection belongs to the request in progress there. */
enum class ResponseOwner {
    /** It is the response to the request in progress. */
    THIS_REQUEST,

    /** It is the response to another request, and the one to the request in progress may follow. */
    OTHER_REQUEST,

    /** It says that the request has not run, but may be a copy of an earlier refusal. */
    UNCERTAIN,
}

/**
 * The exchange that waits for a response.
 *
 * @property repeatable whether the request may run more than once
 * @property firstOnConnection whether the connection has carried no earlier request
 */
data class AwaitedResponse(val request: RequestId, val repeatable: Boolean, val firstOnConnection: Boolean)

/**
 * Decides which request a response belongs to.
 *
 * Servers echo the request's ID, but some refuse without it, and a faulty server may send an earlier response once more
 * while the next request on the connection runs.
 */
object ResponseOwnership {
    /**
     * Returns whose response has arrived.
     *
     * @param id the ID that the response bears; null if it bears none
     * @param notRun whether the response states that the request has not run
     */
    fun ownerOf(awaited: AwaitedResponse, id: RequestId?, status: Int, notRun: Boolean): ResponseOwner = when {
        id == awaited.request -> ResponseOwner.THIS_REQUEST
        id != null -> ResponseOwner.OTHER_REQUEST
        awaited.firstOnConnection || awaited.repeatable -> ResponseOwner.THIS_REQUEST
        notRun || status in PROMISING_STATUSES -> ResponseOwner.UNCERTAIN
        else -> ResponseOwner.THIS_REQUEST
    }

    /**
     * Whether a connection that has carried a response with [id] may carry another request. After a response without an
     * ID it may not: a copy of it could not be told from the response to that request.
     */
    fun keepsConnection(id: RequestId?): Boolean = id != null

    /**
     * Whether a request needs a new connection, on which a refusal is believed also without an ID.
     *
     * @param refusedWithoutIdAt when the endpoint last refused a request without an ID; null if it never has
     */
    fun needsNewConnection(repeatable: Boolean, refusedWithoutIdAt: Instant?, now: Instant): Boolean =
        !repeatable && refusedWithoutIdAt != null &&
            Duration.between(refusedWithoutIdAt, now).seconds < FRESH_AFTER_REFUSAL_SECONDS
}
