package comfreypath.coordination.overload

import comfreypath.coordination.model.TeamName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * The requests that a router has in progress.
 *
 * Load pattern: clients of one team open all connections that a router accepts, and send requests that take long. A
 * team may have no more requests in progress than are left of the maximum, so that others find room.
 *
 * @property total the requests of all teams
 * @property byTeam the requests of each team; null is for requests without a team
 */
data class InProgressRequests(
    val total: Int = 0,
    val byTeam: PersistentMap<TeamName?, Int> = persistentHashMapOf(),
) {
    /** True if [team] may begin a request while at most [max] may be in progress. */
    fun admits(team: TeamName?, max: Int): Boolean = (byTeam[team] ?: 0) < max - total

    /** The state after a request of [team] has begun. */
    fun begun(team: TeamName?) = InProgressRequests(total + 1, byTeam.put(team, (byTeam[team] ?: 0) + 1))

    /** The state after a request of [team] has ended. */
    fun ended(team: TeamName?): InProgressRequests {
        val left = (byTeam[team] ?: 0) - 1
        return InProgressRequests(total - 1, if (left > 0) byTeam.put(team, left) else byTeam.remove(team))
    }
}
