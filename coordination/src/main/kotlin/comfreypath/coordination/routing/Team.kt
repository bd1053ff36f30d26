package comfreypath.coordination.routing

import comfreypath.coordination.model.TeamName
import kotlinx.collections.immutable.ImmutableList

/**
 * A team of callers.
 *
 * @property apiKeys the keys that identify the team
 * @property priority goes before the route's priority; null when the team has none
 */
data class Team(val name: TeamName, val apiKeys: ImmutableList<String>, val priority: Int?)

/** Finds the team that holds a key. */
class TeamDirectory(teams: Collection<Team>) {
    private val byKey: Map<String, Team> = teams.flatMap { team -> team.apiKeys.map { it to team } }.toMap()

    /** The team that holds [apiKey], or null. */
    fun find(apiKey: String): Team? = byKey[apiKey]
}
