package comfreypath.coordination.availability

import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.testEndpoint
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.time.Instant

class RecoveryLimitsTest {
    private val limits = RecoveryLimits()
    private val endpoint = testEndpoint(1)
    private val other = testEndpoint(2)

    private fun withRoom(
        fleet: FleetPosition,
        availability: Availability,
        inFlight: Int,
        endpoints: List<Endpoint> = listOf(endpoint, other),
    ) = limits.withRoom(
        endpoints,
        fleet,
        availability = { if (it == endpoint) availability else Availability.Open },
        inFlight = { inFlight },
    )

    /** The requests that a router may have at the endpoint while another one can take them, too. */
    private fun share(fleet: FleetPosition, step: Int, loadPerSlot: Double): Int = generateSequence(0) { it + 1 }
        .first { endpoint !in withRoom(fleet, Availability.Recovering(step, loadPerSlot), it) }

    @Test
    fun `the routers together have as many requests at an endpoint as one router alone`() {
        listOf(1, 9, 95).forEach { routers ->
            listOf(0.25 to 1, 0.5 to 3, 1.0 to 6, 3.0 to 18).forEachIndexed { step, (load, expected) ->
                val shares = (0 until routers).map { share(FleetPosition(it, routers), step, load) }
                expectThat(shares.sum()).describedAs("$routers routers, step $step").isEqualTo(expected)
                expectThat(shares.max() - shares.min()).isEqualTo(if (expected % routers == 0) 0 else 1)
            }
        }
    }

    @Test
    fun `routers that have no share in one step have one in another`() {
        val withShare = (0 until 95).filter { router -> (0..15).any { share(FleetPosition(router, 95), it, 3.0) > 0 } }
        expectThat(withShare.size).isGreaterThan(80)
    }

    @Test
    fun `a router has the share of the last step while no other endpoint has room, and no more`() {
        val alone = listOf(endpoint)
        val fleet = FleetPosition(0, 1)
        val first = Availability.Recovering(0, 0.25)
        expectThat(withRoom(fleet, first, inFlight = 17, alone)).isEqualTo(alone)
        expectThat(withRoom(fleet, first, inFlight = 18, alone)).isEmpty()
        expectThat(withRoom(fleet, Availability.Open, inFlight = 100, alone)).isEqualTo(alone)
    }

    @Test
    fun `an endpoint that has not paused has no limit`() {
        val paused = Availability.Paused(Instant.EPOCH)
        expectThat(withRoom(FleetPosition(0, 95), paused, inFlight = 100)).isEqualTo(listOf(endpoint, other))
    }

    @Test
    fun `routers that know each other have different positions`() {
        val names = listOf("c", "a", "b").map(::InstanceName)
        expectThat(names.map { FleetPosition.of(it, names) }.map { it.position }).isEqualTo(listOf(2, 0, 1))
        expectThat(names.map { self -> FleetPosition.of(self, names - self) }.toSet())
            .isEqualTo((0..2).map { FleetPosition(it, 3) }.toSet())
    }
}
