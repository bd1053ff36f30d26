package comfreypath.router.sending

import comfreypath.coordination.endpointload.EndpointReport
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
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.time.Duration
import java.time.Instant

class EndpointLoadTrackerTest {
    private var now = Instant.ofEpochSecond(1_000)
    private val context = TestContext.create({ now })
    private val tracker = EndpointLoadTracker(context)
    private val entry = EndpointEntry(nameHash = 1, knownSince = now).apply { inFlight = 1 }
    private val request = RequestId("r")
    private val endpoint = Endpoint(
        name = EndpointName("e"),
        service = ServiceName("s"),
        host = "127.0.0.1",
        port = 1,
        dataCentre = DataCentreName("d"),
        version = VersionName("1"),
        slots = 8,
        draining = false,
        coldMilliseconds = 0,
        startedAt = 1,
    )
    private val refusal = EndpointResponseHeads.of(request)
    private val answer = refusal.copy(status = 200, notRun = false)
    private val told = answer.copy(load = EndpointReport(running = 4, waiting = 0, slots = 8, pace = 2.0))

    @AfterEach
    fun stop() {
        context.loop.parent().shutdownGracefully()
    }

    private fun observe(head: EndpointResponseHead, from: Endpoint = endpoint) =
        tracker.observe(from, entry, head, request)

    @Test
    fun `an endpoint that tells three figures or none leaves no state, so that its requests are placed as before`() {
        observe(answer)
        observe(answer.copy(load = EndpointReport(running = 4, waiting = 0, slots = 8)))
        observe(refusal)
        expectThat(entry.told).isNull()
        expectThat(entry.patience(now)).isEqualTo(1.0)
    }

    @Test
    fun `an endpoint that tells its pace is known by its pace and its requests`() {
        observe(told)
        expectThat(entry.told?.room?.others).isEqualTo(3)
        expectThat(entry.patience(now)).isGreaterThan(1.3)
        now = now.plusSeconds(60)
        expectThat(entry.patience(now)).isEqualTo(1.0)
        expectThat(entry.told?.isCurrent(now)).isEqualTo(false)
    }

    @Test
    fun `a refusal as full counts at once, a pause does not`() {
        observe(told)
        observe(refusal.copy(pause = Duration.ofSeconds(1)))
        expectThat(entry.told?.room?.others).isEqualTo(3)
        observe(refusal)
        expectThat(entry.told?.room?.others).isEqualTo(8)
    }

    @Test
    fun `a response to another request or of another endpoint tells nothing`() {
        observe(told.copy(requestId = RequestId("other")))
        observe(told.copy(endpoint = EndpointName("other")))
        observe(told.copy(genuine = false))
        expectThat(entry.told).isNull()
    }

    @Test
    fun `figures that are not usable change nothing and are counted`() {
        observe(told)
        val known = entry.told
        observe(answer.copy(load = EndpointReport(5, 0, 8), unreadableLoad = "5,0,8,0"))
        observe(answer.copy(unreadableLoad = "x,5,0,8"))
        expectThat(entry.told).isNotNull().isEqualTo(known)
        expectThat(context.metrics.prometheusText().decodeToString())
            .contains("comfreypath_endpoint_announcements_total{kind=\"unreadable_load\"} 2.0")
    }

    @Test
    fun `another process under the same name starts without what the one before has told`() {
        observe(told)
        observe(answer, from = endpoint.copy(startedAt = 2))
        expectThat(entry.told).isNull()
    }
}
