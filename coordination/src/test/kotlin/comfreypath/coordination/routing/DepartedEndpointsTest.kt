package comfreypath.coordination.routing

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.time.Instant

class DepartedEndpointsTest {
    private val now = Instant.parse("2026-01-01T00:00:00Z")
    private val usable = Endpoint(
        name = EndpointName("server-1"),
        service = ServiceName("plain"),
        host = "10.0.0.1",
        port = 8080,
        dataCentre = DataCentreName("south"),
        version = VersionName("v1"),
        slots = 8,
        draining = false,
        coldMilliseconds = 0,
        startedAt = 7,
    )
    private val draining = usable.copy(draining = true)

    private fun entry(endpoint: Endpoint) = mapOf(endpoint.name to endpoint)

    private fun changed(before: Endpoint, after: Map<EndpointName, Endpoint>, kept: Set<Endpoint> = emptySet()) =
        DepartedEndpoints().changed(entry(before), after, kept, now)

    @Test
    fun `a server that left is not used again because a copy of the store shows it`() {
        val removed = changed(usable, emptyMap()).listedAnew(emptyMap(), emptyList(), entry(usable), now)
        expectThat(removed.holds(usable, now)).isTrue()
        val drained = DepartedEndpoints().listedAnew(entry(draining), emptyList(), entry(usable), now)
        expectThat(drained.holds(usable, now)).isTrue()
        val heard = DepartedEndpoints().listedAnew(entry(usable), setOf(usable), entry(usable), now)
        expectThat(heard.holds(usable, now)).isTrue()
    }

    @Test
    fun `a server that left stays out when the store comes back twice`() {
        val once = changed(usable, emptyMap()).listedAnew(emptyMap(), emptyList(), entry(usable), now)
        val twice = once.listedAnew(entry(usable), emptyList(), entry(usable), now)
        expectThat(twice.holds(usable, now)).isTrue()
    }

    @Test
    fun `a server is used again once its entry is written, or after a while`() {
        val held = changed(usable, emptyMap()).listedAnew(emptyMap(), emptyList(), entry(usable), now)
        val written = usable.copy(coldMilliseconds = 300)
        expectThat(held.holds(written, now)).isFalse()
        expectThat(held.changed(entry(usable), entry(written), emptySet(), now).holds(usable, now)).isFalse()
        expectThat(held.holds(usable, now.plusSeconds(30))).isFalse()
    }

    @Test
    fun `a server that came back, or has no entry only because of an outage, has not left`() {
        val returned = changed(usable, emptyMap()).changed(emptyMap(), entry(usable), emptySet(), now)
        expectThat(returned.listedAnew(entry(usable), emptyList(), entry(usable), now).holds(usable, now)).isFalse()
        val kept = changed(usable, emptyMap(), kept = setOf(usable))
        expectThat(kept.listedAnew(emptyMap(), emptyList(), entry(usable), now).holds(usable, now)).isFalse()
    }
}
