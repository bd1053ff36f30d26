package comfreypath.coordination.room

import comfreypath.coordination.model.TeamName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan

class WorkSharesTest {
    private fun flow(team: String, priority: Int = 0) = Flow(priority, TeamName(team))

    @Test
    fun `a team that offers less than an equal share gets all of it, and the others share the rest`() {
        val shares = WorkShares.divide(mapOf(flow("a") to 1.0, flow("b") to 5.0, flow("c") to 10.0), served = 9.0 / 16)
        expectThat(shares.getValue(flow("a"))).isEqualTo(1.0)
        expectThat(shares.getValue(flow("b"))).isGreaterThan(0.79).isLessThan(0.81)
        expectThat(shares.getValue(flow("c"))).isGreaterThan(0.39).isLessThan(0.41)
    }

    @Test
    fun `the urgent requests of a team go first, and the others do not starve`() {
        val shares = WorkShares.divide(mapOf(flow("a", 0) to 5.0, flow("a", 1) to 5.0), served = 0.4)
        expectThat(shares.getValue(flow("a", 0))).isGreaterThan(0.6)
        expectThat(shares.getValue(flow("a", 1))).isGreaterThanOrEqualTo(0.1)
    }

    @Test
    fun `urgent requests of a team that offers too much take nothing from less urgent ones of another`() {
        val shares = WorkShares.divide(mapOf(flow("rival", 0) to 60.0, flow("other", 2) to 1.0), served = 0.2)
        expectThat(shares.getValue(flow("other", 2))).isEqualTo(1.0)
    }

    @Test
    fun `a team at many times its usual is not starved while the others leave nothing`() {
        val others = (1..10).associate { flow("team-$it") to 1.0 }
        val shares = WorkShares.divide(others + (flow("rival") to 60.0), served = 10.0 / 70)
        expectThat(shares.getValue(flow("rival"))).isGreaterThanOrEqualTo(0.25 * 10.0 / 70)
    }
}
