package comfreypath.router.view

import com.github.michaelbull.result.Ok
import comfreypath.coordination.fleet.Departures
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.TestContext
import comfreypath.router.store.StoredObject
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.time.Instant

class EndpointViewTest {
    private var now = Instant.ofEpochSecond(1_000)
    private val context = TestContext.create({ now })
    private val service = ServiceName("s")
    private val peer = InstanceName("router-2")
    private val view = EndpointView(context)
    private val peerView = EndpointView(context)

    private fun endpoint(name: String, draining: Boolean = false) = Endpoint(
        name = EndpointName(name),
        service = service,
        host = "127.0.0.1",
        port = 1,
        dataCentre = DataCentreName("south"),
        version = VersionName("1"),
        slots = 1,
        draining = draining,
        coldMilliseconds = 0,
        startedAt = null,
    )

    private fun list(view: EndpointView, revision: Long, vararg endpoints: Endpoint) = view.entries.replace(
        endpoints.map { StoredObject(it.name.text, revision, Ok(it), document = "") },
        revision,
        now,
    )

    private fun told(): Departures? = peerView.departuresToTell()

    @Test
    fun `an endpoint of which a peer tells that it drains has left before the list is fetched`() {
        listOf(view, peerView).forEach { list(it, 60, endpoint("i-1"), endpoint("i-2")) }
        list(peerView, 70, endpoint("i-1"), endpoint("i-2", draining = true))
        view.hear(checkNotNull(told()), peer)
        expectThat(view.hasLeft(endpoint("i-1"))).isFalse()
        expectThat(view.hasLeft(endpoint("i-2"))).isTrue()
        list(view, 70, endpoint("i-1"), endpoint("i-2"))
        expectThat(view.hasLeft(endpoint("i-2"))).isFalse()
    }

    @Test
    fun `a peer that believes no outage does not end the grace period of endpoints whose entries expired in one`() {
        view.storeOutageEndedAt = { now }
        listOf(view, peerView).forEach { list(it, 60, endpoint("i-1"), endpoint("i-2")) }
        list(view, 110, endpoint("i-1"))
        list(peerView, 118, endpoint("i-1"))
        view.hear(checkNotNull(told()), peer)
        expectThat(view.forService(service).map { it.name.text }).containsExactly("i-1", "i-2")
        expectThat(view.hasLeft(endpoint("i-2"))).isFalse()
    }

    @Test
    fun `endpoints that are kept without an entry are not told to have left`() {
        peerView.storeOutageEndedAt = { now }
        list(peerView, 60, endpoint("i-1"), endpoint("i-2"))
        list(peerView, 70, endpoint("i-1"))
        expectThat(told()).isNull()
    }

    @Test
    fun `endpoints whose entries are removed before peers report the outage return to use`() {
        var endedAt: Instant? = null
        view.storeOutageEndedAt = { endedAt }
        list(view, 60, endpoint("i-1"), endpoint("i-2"))
        list(view, 70, endpoint("i-1"))
        expectThat(view.forService(service).map { it.name.text }).containsExactly("i-1")
        endedAt = now
        now = now.plusMillis(150)
        expectThat(view.forService(service).map { it.name.text }).containsExactly("i-1", "i-2")
        now = now.plusMillis(1_350)
        expectThat(view.forService(service).map { it.name.text }).containsExactly("i-1")
    }

    @Test
    fun `the list is as old as the last agreement with a peer`() {
        list(view, 60, endpoint("i-1"))
        expectThat(view.entries.agreedAt).isNotNull().isEqualTo(now)
        val later = now.plusSeconds(20)
        view.entries.agreed(later)
        expectThat(view.entries.agreedAt).isEqualTo(later)
        expectThat(view.entries.confirmedAt).isEqualTo(now)
    }
}
