package comfreypath.coordination.routing

import comfreypath.coordination.model.TeamName
import kotlinx.collections.immutable.ImmutableList

/**
 * A customer whose callers share API keys and a priority.
 *
 * @property apiKeys the keys that authenticate the team's callers
 * @property priority overrides the route's priority; null to use the route's
 */
data class Team(val name: TeamName, val apiKeys: ImmutableList<String>, val priority: Int?)

/** Looks up teams by API key. */
class TeamDirectory(teams: Collection<Team>) {
    private val byKey: Map<String, Team> = teams.flatMap { team -> team.apiKeys.map { it to team } }.toMap()

    /** Returns the team that [apiKey] belongs to, or null if the key is unknown. */
    fun find(apiKey: String): Team? = byKey[apiKey]
}
