package comfreypath.coordination.overload

import comfreypath.coordination.model.TeamName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class InProgressRequestsTest {
    private val crowd = TeamName("crowd")
    private val other = TeamName("other")

    private fun InProgressRequests.filledBy(team: TeamName?) =
        generateSequence(this) { state -> state.begun(team).takeIf { state.admits(team, MAX) } }.last()

    @Test
    fun `a team that sends requests without end leaves room for others`() {
        val filled = InProgressRequests().filledBy(crowd)
        expectThat(filled.total).isEqualTo(MAX / 2)
        expectThat(filled.admits(crowd, MAX)).isFalse()
        expectThat(filled.admits(other, MAX)).isTrue()
        expectThat(filled.filledBy(null).admits(other, MAX)).isTrue()
    }

    @Test
    fun `no more than the maximum are in progress`() {
        val filled = (1..1_000).fold(InProgressRequests()) { state, team -> state.filledBy(TeamName("team-$team")) }
        expectThat(filled.total).isEqualTo(MAX)
    }

    @Test
    fun `requests that have ended leave nothing behind`() {
        val filled = InProgressRequests().filledBy(crowd).filledBy(null)
        val ended = filled.byTeam.entries.fold(filled) { state, (team, count) ->
            (1..count).fold(state) { left, _ -> left.ended(team) }
        }
        expectThat(ended).isEqualTo(InProgressRequests())
    }

    private companion object {
        const val MAX = 100
    }
}
