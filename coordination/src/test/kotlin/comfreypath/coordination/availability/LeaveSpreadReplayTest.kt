package comfreypath.coordination.availability

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

/** The figures behind the decision that routers do not tell their peers of announced leaves. */
class LeaveSpreadReplayTest {
    private fun mean(value: (Long) -> Number): Double = (1L..SEEDS).map { value(it).toDouble() }.average()

    private fun requests(routers: Int, perSecond: Double, tells: Boolean) =
        mean { LeaveSpreadReplay(it, routers, perSecond, tells).run().requests }

    private fun bytes(routers: Int, perSecond: Double) =
        mean { LeaveSpreadReplay(it, routers, perSecond, tells = true).run().bytesPerSecond }

    @Test
    fun `without telling a leave costs each router at most one more request`() =
        listOf(9, 95, 400).forEach { routers ->
            listOf(11.0, 100.0).forEach { perSecond ->
                expectThat(requests(routers, perSecond, tells = false)).isLessThanOrEqualTo(routers - 1.0)
            }
        }

    @Test
    fun `telling of leaves saves requests, and adds to the traffic of a router for each endpoint`() {
        val own = requests(LARGE, PER_SECOND, tells = false)
        val told = requests(LARGE, PER_SECOND, tells = true)
        expectThat(told).isLessThan(own)
        expectThat(bytes(LARGE, PER_SECOND)).isGreaterThan(0.0)
    }

    private companion object {
        const val SEEDS = 20L
        const val LARGE = 95
        const val PER_SECOND = 11.0
    }
}
