package comfreypath.coordination.overload

import comfreypath.coordination.model.TeamName
import java.time.Duration

/** Whether a request is sent on while its service is full. */
sealed interface Admission {
    /** It is sent: it can be served in time as far as is known. */
    data object Admitted : Admission

    /** It is refused at once; room is expected after [retryAfter]. */
    data class Refused(val reason: RefusalReason, val retryAfter: Duration) : Admission
}

/** Why a request is refused while its service is full. */
enum class RefusalReason {
    /** It would still wait when its caller gives up. */
    TOO_LATE,

    /** Its team has more than its part of what is in progress, and others wait. */
    OVER_SHARE,
}

/**
 * What is known of a request that may have to wait.
 *
 * @property team null on public routes
 * @property timeLeft how long the caller still waits for the answer, or for a stream's first event
 * @property jitter from 0 to 1, different for each request, so that those refused together come back apart
 */
data class AdmissionRequest(val team: TeamName?, val timeLeft: Duration, val jitter: Double)
