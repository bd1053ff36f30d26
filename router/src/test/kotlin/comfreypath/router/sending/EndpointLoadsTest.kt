package comfreypath.router.sending

import comfreypath.coordination.endpointload.EndpointReport
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.RequestId
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.placement.Candidate
import comfreypath.coordination.placement.LoadProjection
import comfreypath.coordination.placement.LoadReports
import comfreypath.coordination.placement.ReportedLoad
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.TestContext
import comfreypath.router.request.EndpointResponseHeads
import comfreypath.router.request.LivePeers
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant

class EndpointLoadsTest {
    private val now = Instant.ofEpochSecond(1_000)
    private val context = TestContext.create({ now })
    private val tracker = EndpointTracker(context)
    private val peers = object : LivePeers {
        override val names = List(PEERS) { InstanceName("router-$it") }
        override val loadsAge: Duration = Duration.ofMillis(600)

        override fun inFlight(nameHash: Long): Int = AT_PEERS
    }
    private val holdTime = Duration.ofMillis(1_200)
    private val loads = EndpointLoads(tracker, peers)
    private val endpoints = List(4) { number ->
        Endpoint(
            name = EndpointName("e$number"),
            service = ServiceName("s"),
            host = "127.0.0.1",
            port = 1,
            dataCentre = DataCentreName("d"),
            version = VersionName("1"),
            slots = 64,
            draining = false,
            coldMilliseconds = 0,
            startedAt = 1,
        )
    }

    @AfterEach
    fun stop() {
        context.loop.parent().shutdownGracefully()
    }

    private fun tell(endpoint: Endpoint, report: EndpointReport) {
        val request = RequestId("r")
        val head = EndpointResponseHeads.of(request).copy(status = 200, notRun = false, load = report)
        tracker.told.observe(endpoint, tracker.entry(endpoint.name), head, request)
    }

    private fun candidates(): List<Candidate> = loads.candidates(endpoints, holdTime, now)

    @Test
    fun `endpoints that tell three figures get the loads and estimates that routers report`() {
        endpoints.forEach { tell(it, EndpointReport(running = 50, waiting = 9, slots = 64)) }
        val reports = LoadReports(PEERS, peers.loadsAge, holdTime)
        val window = LoadProjection.window(reports, endpoints.size) { 0 }
        val expected = LoadProjection(reports, window, 0, endpoints.size).of(ReportedLoad(0, AT_PEERS, 0))
        candidates().forEach {
            expectThat(it.load).isEqualTo(AT_PEERS)
            expectThat(it.estimate).isEqualTo(expected)
            expectThat(it.pace).isEqualTo(1.0)
            expectThat(it.tellsPace).isFalse()
        }
        expectThat(loads.mean(endpoints, candidates().drop(1))).isEqualTo(
            (expected.expected * (endpoints.size - 1) + AT_PEERS) / endpoints.size,
        )
    }

    @Test
    fun `an endpoint that tells its pace has the load that it tells`() {
        tell(endpoints[0], EndpointReport(running = 50, waiting = 9, slots = 64, pace = 2.0))
        val candidate = candidates()[0]
        expectThat(candidate.load).isGreaterThan(40)
        expectThat(candidate.pace).isGreaterThan(1.1)
        expectThat(candidate.tellsPace).isTrue()
        expectThat(candidates()[1].load).isEqualTo(AT_PEERS)
    }

    private companion object {
        const val PEERS = 8
        const val AT_PEERS = 5
    }
}
