package comfreypath.router.peers

import comfreypath.coordination.fleet.InFlight
import comfreypath.coordination.model.InstanceName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant

class DirectLoadsTest {
    private val now = Instant.ofEpochSecond(1_000)
    private val first = InstanceName("router-1")
    private val second = InstanceName("router-2")
    private val loads = DirectLoads()

    @Test
    fun `a report counts as soon as it arrives, and replaces the one before`() {
        loads.put(first, InFlight(mapOf(1 to 4, 2 to 1)), now)
        loads.put(second, InFlight(mapOf(1 to 2)), now)
        expectThat(loads.inFlight(1)).isEqualTo(6)
        loads.put(first, InFlight(mapOf(1 to 1)), now)
        expectThat(loads.inFlight(1)).isEqualTo(3)
        expectThat(loads.inFlight(2)).isEqualTo(0)
    }

    @Test
    fun `the reports of a peer that is no longer live don't count`() {
        loads.put(first, InFlight(mapOf(1 to 4)), now)
        loads.put(second, InFlight(mapOf(1 to 2)), now)
        loads.retain(setOf(second))
        expectThat(loads.inFlight(1)).isEqualTo(2)
        expectThat(first in loads).isFalse()
        expectThat(second in loads).isTrue()
    }

    @Test
    fun `the age is the mean age of the reports`() {
        expectThat(loads.age(now)).isEqualTo(Duration.ZERO)
        loads.put(first, InFlight(), now.minusMillis(200))
        loads.put(second, InFlight(), now.minusMillis(600))
        expectThat(loads.age(now)).isEqualTo(Duration.ofMillis(400))
    }

    @Test
    fun `a report that was replaced or removed no longer counts in the age`() {
        loads.put(first, InFlight(), now.minusMillis(5_000))
        loads.put(second, InFlight(), now.minusMillis(600))
        loads.put(first, InFlight(), now.minusMillis(100))
        expectThat(loads.age(now)).isEqualTo(Duration.ofMillis(350))
        loads.retain(setOf(first))
        expectThat(loads.age(now)).isEqualTo(Duration.ofMillis(100))
    }
}
