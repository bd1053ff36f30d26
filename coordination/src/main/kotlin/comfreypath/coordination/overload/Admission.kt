package comfreypath.coordination.overload

import comfreypath.coordination.model.TeamName
import java.time.Duration

/** Whether a request is sent to its service or refused because the service is overloaded. */
sealed interface Admission {
    /** The request is sent, since nothing known prevents a response in time. */
    data object Admitted : Admission

    /** The request is refused at once; capacity is expected after [retryAfter]. */
    data class Refused(val reason: RefusalReason, val retryAfter: Duration) : Admission
}

/** Why a request is refused while all endpoints of its service are full. */
enum class RefusalReason {
    /** The response could not arrive before the caller gives up. */
    TOO_LATE,

    /** The team has more than its share of the requests in progress, while other teams have requests too. */
    OVER_SHARE,

    /** All endpoints have just ended a pause, and this router has its share of requests at them. */
    RETURNING,
}

/**
 * The properties of a request that admission depends on.
 *
 * @property team null on public routes
 * @property timeLeft how long the caller still waits for the response, or for the first event of a stream
 * @property jitter from 0 to 1, different for each request, to spread the retries of requests refused together
 */
data class AdmissionRequest(val team: TeamName?, val timeLeft: Duration, val jitter: Double)
