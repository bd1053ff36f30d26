package comfreypath.coordination.endpointload

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo

class NoisyNeighbourReplayTest {
    /** The share on time by kind of placement, over some seeds. */
    private fun onTime(name: String, plan: NoisyPlan, duration: Int): Map<PlacementKind, Double> =
        PlacementKind.entries.associateWith { kind ->
            SEEDS.map { NoisyNeighbourReplay(it, plan, kind).run(duration) }.average()
        }.also { println("$name: ${it.map { (kind, share) -> "$kind %.3f".format(share) }}") }

    @Test
    fun `noisy neighbours delay fewer requests if endpoints tell how long work takes`() {
        val shares = onTime("noisy-neighbours", NoisyPlan(routers = 3, endpoints = 8), duration = 20_000)
        val told = shares.getValue(PlacementKind.TOLD)
        expectThat(told).isGreaterThan(shares.getValue(PlacementKind.REPORTS))
        expectThat(told).isGreaterThan(shares.getValue(PlacementKind.LEAST_LOADED))
        expectThat(told).isGreaterThanOrEqualTo(GOAL * shares.getValue(PlacementKind.CLAIRVOYANT))
    }

    @Test
    fun `routers that see a sliver of the responses are not misled by them`() {
        val shares = onTime("sliver", NoisyPlan(routers = 82, endpoints = 42, utilization = 0.3), duration = 8_000)
        val told = shares.getValue(PlacementKind.TOLD)
        expectThat(told).isGreaterThanOrEqualTo(shares.getValue(PlacementKind.REPORTS))
    }

    private companion object {
        val SEEDS = 1L..3L

        /** The share of the clairvoyant bound that is to be reached. */
        const val GOAL = 0.9
    }
}
