package comfreypath.coordination.placement

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.routing.testEndpoint
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull

class PlacementTest {
    private val loads = HashMap<String, Int>()

    private fun candidate(number: Int, dataCentre: String = "dc-${number % 3}"): Candidate {
        val name = "engine-$number"
        val endpoint = testEndpoint(number).copy(name = EndpointName(name), dataCentre = DataCentreName(dataCentre))
        return Candidate(endpoint, hashOf(name), loads[name] ?: 0)
    }

    private fun candidates(count: Int) = (1..count).map { candidate(it) }

    @Test
    fun `equal prompts go to the same endpoint, and most stay there when an endpoint is added`() {
        val before = (1L..500L).associateWith { Placement.byPrompt(candidates(12), mix(it, 7))?.endpoint?.name }
        val after = (1L..500L).associateWith { Placement.byPrompt(candidates(13), mix(it, 7))?.endpoint?.name }
        val moved = before.count { (key, name) -> after[key] != name }
        expectThat(moved).isLessThanOrEqualTo(500 / 13 * 2)
    }

    @Test
    fun `a prompt that many callers use at once is spread before one endpoint has a multiple of the mean load`() {
        repeat(120) { number ->
            val popular = number % 2 == 0
            val key = if (popular) 42L else mix(number.toLong(), 5)
            val chosen = checkNotNull(Placement.byPrompt(candidates(12), key))
            loads.merge(chosen.endpoint.name.text, 1, Int::plus)
        }
        val mean = loads.values.sum() / 12.0
        expectThat(loads.values.max().toDouble()).isLessThanOrEqualTo(2 * mean + 3)
        expectThat(loads.values.max().toDouble()).isGreaterThan(mean)
    }

    @Test
    fun `the load bound includes endpoints of the service that may not be used, as in an evacuated data centre`() {
        repeat(240) { number ->
            val all = candidates(6)
            val usable = all.filter { it.endpoint.dataCentre.text != "dc-0" }
            val key = if (number % 5 < 3) 42L else mix(number.toLong(), 5)
            val chosen = checkNotNull(Placement.byPrompt(usable, key, all.meanLoad()))
            loads.merge(chosen.endpoint.name.text, 1, Int::plus)
        }
        expectThat(loads.values.max().toDouble()).isLessThanOrEqualTo(2 * 240 / 6.0 + 3)
    }

    @Test
    fun `requests without a prompt stay local while there are free slots, else go to the least loaded`() {
        val local = DataCentreName("dc-1")
        expectThat(Placement.byLoad(candidates(3), local, salt = 1)?.endpoint?.name?.text).isEqualTo("engine-1")
        loads["engine-1"] = 6
        loads["engine-2"] = 4
        expectThat(Placement.byLoad(candidates(3), local, salt = 1)?.endpoint?.name?.text).isEqualTo("engine-3")
    }

    @Test
    fun `without candidates no endpoint is chosen`() {
        expectThat(Placement.byPrompt(emptyList(), 1)).isNull()
        expectThat(Placement.byLoad(emptyList(), DataCentreName("dc-1"), 1)).isNull()
    }

    @Test
    fun `a router spreads its own requests evenly although it last heard that one endpoint is idle`() {
        (2..6).forEach { loads["engine-$it"] = 20 }
        val own = HashMap<String, Int>()
        repeat(60) { number ->
            val even = Placement.withinEvenShare(candidates(6)) { own[it.endpoint.name.text] ?: 0 }
            val chosen = checkNotNull(Placement.byPrompt(even, mix(number.toLong(), 5)))
            own.merge(chosen.endpoint.name.text, 1, Int::plus)
            expectThat(own.values.max()).isLessThanOrEqualTo(number / 6 + 1)
        }
    }
}
