package comfreypath.coordination.room

import comfreypath.coordination.model.TeamName
import java.time.Duration

/**
 * A request as admission to a service sees it.
 *
 * @property kind the name of its route
 * @property team null on public routes
 * @property priority 0 is the most urgent
 * @property size the tokens of its prompt and response, weighted by cost; null if it tells none
 * @property timeLeft how long the caller still waits for the response, or for the first event of a stream
 * @property target the time from the caller's first attempt after which the response, or its first event, is late
 * @property budget how long the caller waits from this attempt on, as the request tells; null if it tells nothing
 * @property identity the same in all attempts of the same request of a caller; null if it carries no such thing
 * @property jitter from 0 to 1, different for each request
 */
data class RoomRequest(
    val kind: String,
    val team: TeamName?,
    val priority: Int,
    val size: Double?,
    val timeLeft: Duration,
    val target: Duration,
    val budget: Duration? = null,
    val identity: Long? = null,
    val jitter: Double = 0.5,
) {
    internal val flow: Flow get() = Flow(priority, team)
}

/** The requests of one team and one priority; [team] is null for public routes. */
data class Flow(val priority: Int, val team: TeamName?)
