package comfreypath.coordination.overload

import java.time.Duration
import java.time.Instant

/** Requests vary around the expected time; most end within twice of it. */
private const val REPEATABLE_MARGIN = 2L

/** A request that can't be repeated is lost when it is cut off. */
private const val UNREPEATABLE_MARGIN = 4L

/**
 * Decides which requests a router still takes while it stops.
 *
 * Answers the load of a planned stop in calm: callers go on sending on open connections, and a request that outlasts
 * the process is cut off while an endpoint runs it. Other routers have room for it, so its caller is better off with an
 * immediate refusal.
 *
 * @property noticedAt when the platform has stopped sending new callers
 * @property endsAt when the process cuts off what is still in progress
 */
data class DrainAdmission(private val noticedAt: Instant, private val endsAt: Instant) {
    /**
     * Returns whether to take a request at [now].
     *
     * @param deadline when the request times out
     * @param expected how long such a request usually takes; null if unknown
     * @param repeatable whether the request may run more than once
     */
    fun admits(now: Instant, deadline: Instant, expected: Duration?, repeatable: Boolean): Boolean = when {
        deadline <= endsAt -> true
        expected == null -> now < noticedAt
        else -> now + expected.multipliedBy(if (repeatable) REPEATABLE_MARGIN else UNREPEATABLE_MARGIN) <= endsAt
    }
}
