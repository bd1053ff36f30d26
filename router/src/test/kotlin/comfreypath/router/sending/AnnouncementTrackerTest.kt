package comfreypath.router.sending

import comfreypath.coordination.availability.Availability
import comfreypath.coordination.availability.AvailabilityOptions
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.RequestId
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.TestContext
import comfreypath.router.request.EndpointResponseHead
import comfreypath.router.request.EndpointResponseHeads
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.time.Duration
import java.time.Instant

class AnnouncementTrackerTest {
    private var now = Instant.ofEpochSecond(1_000)
    private val context = TestContext.create({ now })
    private val tracker = AnnouncementTracker(context)
    private val request = RequestId("r")
    private val endpoint = Endpoint(
        name = EndpointName("e"),
        service = ServiceName("s"),
        host = "127.0.0.1",
        port = 1,
        dataCentre = DataCentreName("d"),
        version = VersionName("1"),
        slots = 1,
        draining = false,
        coldMilliseconds = 0,
        startedAt = 1,
    )
    private val head = EndpointResponseHeads.of(request)

    @AfterEach
    fun stop() {
        context.loop.parent().shutdownGracefully()
    }

    private fun metrics() = context.metrics.prometheusText().decodeToString()

    private fun expectIgnored(head: EndpointResponseHead) {
        tracker.observe(endpoint, head.copy(leaving = true, pause = Duration.ofSeconds(1)), request)
        expectThat(tracker.of(endpoint)).isEqualTo(Availability.Open)
    }

    @Test
    fun `an endpoint is not taken out by a response that names no request or another one`() {
        expectIgnored(head.copy(requestId = null))
        expectIgnored(head.copy(requestId = RequestId("old")))
    }

    @Test
    fun `an endpoint is not taken out by the server that has its address now`() {
        expectIgnored(head.copy(wrongEndpoint = true))
        expectIgnored(head.copy(endpoint = EndpointName("other")))
    }

    @Test
    fun `an endpoint is not taken out by a success without a signature`() = expectIgnored(head.copy(genuine = false))

    @Test
    fun `an endpoint that announced that it leaves is out for other requests`() {
        tracker.observe(endpoint, head.copy(leaving = true), request)
        expectThat(tracker.of(endpoint)).isEqualTo(Availability.Leaving)
        expectThat(metrics()).contains("comfreypath_endpoints_out{state=\"leaving\"} 1.0")
    }

    @Test
    fun `work returns by steps after a pause, also if all endpoints return`() {
        val other = endpoint.copy(name = EndpointName("f"))
        fun withRoom(inFlight: Int, vararg endpoints: Endpoint) =
            tracker.withRoom(endpoints.asList(), peers = emptyList()) { inFlight }
        tracker.observe(endpoint, head.copy(pause = Duration.ofSeconds(1)), request)
        expectThat(tracker.of(endpoint)).isEqualTo(Availability.Paused(now.plusSeconds(1)))
        now = now.plusSeconds(1)
        expectThat(withRoom(0, endpoint, other)).isEqualTo(listOf(endpoint, other))
        expectThat(withRoom(1, endpoint, other)).isEqualTo(listOf(other))
        expectThat(withRoom(1, endpoint)).isEqualTo(listOf(endpoint))
        expectThat(withRoom(3, endpoint)).isEqualTo(emptyList())
        now = now.plus(AvailabilityOptions().recoveryTime)
        expectThat(withRoom(100, endpoint, other)).isEqualTo(listOf(endpoint, other))
    }

    @Test
    fun `a pause that can't be read is counted and pauses nothing`() {
        tracker.observe(endpoint, head.copy(unreadablePause = "soon"), request)
        expectThat(tracker.of(endpoint)).isEqualTo(Availability.Open)
        expectThat(metrics()).contains("comfreypath_endpoint_announcements_total{kind=\"unreadable_pause\"} 1.0")
    }
}
