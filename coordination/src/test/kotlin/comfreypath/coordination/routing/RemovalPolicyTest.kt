package comfreypath.coordination.routing

import comfreypath.coordination.model.EndpointName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Instant

class RemovalPolicyTest {
    private val now = Instant.ofEpochSecond(1_000)

    private fun endpoint(number: Int, draining: Boolean = false) = testEndpoint(number).copy(draining = draining)

    private fun entries(vararg numbers: Int) = numbers.associate { EndpointName("e$it") to endpoint(it) }

    private fun change(
        before: Map<EndpointName, Endpoint>,
        after: Map<EndpointName, Endpoint>,
        state: RemovalGrace = RemovalGrace(),
    ) = RemovalPolicy.update(state, before, after, now)

    private val all = entries(1, 2, 3, 4, 5, 6, 7, 8)

    @Test
    fun `a single removed entry gets no grace period without an outage`() {
        expectThat(change(all, all - EndpointName("e1")).activeEndpoints(now, null)).isEmpty()
    }

    @Test
    fun `entries that expired in an outage stay in use until about two seconds after it`() {
        val recoveredAt = now.minusMillis(900)
        val grace = change(all, all - EndpointName("e1"))
        expectThat(grace.activeEndpoints(now, recoveredAt).map { it.name.text }).containsExactly("e1")
        expectThat(grace.activeEndpoints(recoveredAt.plusMillis(2_199), recoveredAt).size).isEqualTo(1)
        expectThat(grace.activeEndpoints(recoveredAt.plusMillis(2_200), recoveredAt)).isEmpty()
    }

    @Test
    fun `endpoints that leave together without reporting that they drain get no grace period without an outage`() {
        expectThat(change(all, entries(5, 6, 7, 8)).activeEndpoints(now, null)).isEmpty()
    }

    @Test
    fun `all endpoints whose entries expired in an outage stay in use, however many they are`() {
        expectThat(change(all, emptyMap()).activeEndpoints(now, now).size).isEqualTo(8)
    }

    @Test
    fun `entries whose removal arrives before the reports on the outage stay in use from then on`() {
        val grace = change(all, entries(5, 6, 7, 8))
        expectThat(grace.activeEndpoints(now.plusMillis(100), null)).isEmpty()
        expectThat(grace.activeEndpoints(now.plusMillis(150), now.minusMillis(50)).size).isEqualTo(4)
    }

    @Test
    fun `an endpoint that leaves just after an outage is not used for as long as it serves on`() {
        val grace = change(all, all - EndpointName("e1"))
        expectThat(grace.activeEndpoints(now.plusMillis(1_500), now)).isEmpty()
    }

    @Test
    fun `a router that was behind counts the grace period from when it heard of the removal`() {
        val heardAt = now.minusMillis(600)
        val grace = RemovalPolicy.update(RemovalGrace(), all, all - EndpointName("e1"), now) { heardAt }
        expectThat(grace.activeEndpoints(heardAt.plusMillis(1_499), now).map { it.name.text }).containsExactly("e1")
        expectThat(grace.activeEndpoints(heardAt.plusMillis(1_500), now)).isEmpty()
    }

    @Test
    fun `an outage that ended long ago gives no grace period`() {
        expectThat(change(all, entries(5, 6, 7, 8)).activeEndpoints(now, now.minusMillis(2_200))).isEmpty()
    }

    @Test
    fun `a draining endpoint never gets a grace period`() {
        val before = all + (EndpointName("e1") to endpoint(1, draining = true))
        expectThat(change(before, all - EndpointName("e1")).activeEndpoints(now, now)).isEmpty()
    }

    @Test
    fun `an endpoint that registers again leaves the grace period`() {
        val grace = change(all, entries(5, 6, 7, 8))
        val afterReturn = change(entries(5, 6, 7, 8), entries(1, 5, 6, 7, 8), state = grace)
        val active = afterReturn.activeEndpoints(now, now)
        expectThat(active.map { it.name.text }.sorted()).containsExactly("e2", "e3", "e4")
    }
}
