package comfreypath.router.request

import comfreypath.coordination.invariant.Invariant
import comfreypath.coordination.invariant.InvariantMonitor
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.RequestId
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Route
import comfreypath.coordination.routing.RouteKind
import comfreypath.coordination.verdict.RetryState
import comfreypath.router.MonotonicClock
import comfreypath.router.TestContext
import comfreypath.router.view.ClusterView
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Duration
import java.time.Instant

class RelayInvariantsTest {
    private val clock = MonotonicClock()
    private val monitor = InvariantMonitor()
    private val context = TestContext.create(clock, monitor)
    private val view = ClusterView(context)
    private val invariants = RelayInvariants(context, view)
    private val endpoint = Endpoint(
        name = EndpointName("engine-1"),
        service = ServiceName("model"),
        host = "127.0.0.1",
        port = 1,
        dataCentre = DataCentreName("south"),
        version = VersionName("v1"),
        slots = 1,
        draining = false,
        coldMilliseconds = 0,
        startedAt = null,
    )
    private val request = CallerRequest(
        id = RequestId("r1"),
        address = RouteAddress("host", "/"),
        method = HttpMethod.GET,
        uri = "/",
        forwardedHeaders = DefaultHttpHeaders(),
        body = ByteArray(0),
        timeBudget = null,
        apiKey = null,
        prompt = null,
        lastEventId = null,
        receivedAt = Instant.EPOCH,
    )

    private fun state(kind: RouteKind, runs: Int) = RetryState(
        Route(
            name = "route",
            host = "host",
            pathPrefix = "/",
            kind = kind,
            timeout = Duration.ofSeconds(1),
            latencyTarget = Duration.ofSeconds(1),
            gapTarget = null,
            priority = 0,
            destinations = persistentListOf(),
            maxAttempts = 2,
            public = true,
            cacheAffinity = false,
            resumable = false,
        ),
        deadline = Instant.EPOCH,
        runs = runs,
    )

    @Test
    fun `a request that may have run is sent again only on a repeatable route`() {
        invariants.checkSend(request, state(RouteKind.IDEMPOTENT, runs = 1), endpoint)
        expectThat(monitor.total).isEqualTo(0)
        invariants.checkSend(request, state(RouteKind.NON_IDEMPOTENT, runs = 1), endpoint)
        expectThat(monitor.count(Invariant.AT_MOST_ONCE)).isEqualTo(1)
    }

    @Test
    fun `sending to a draining endpoint violates only the invariant of endpoints`() {
        val notRun = state(RouteKind.IDEMPOTENT, runs = 0)
        invariants.checkSend(request, notRun, endpoint.copy(draining = true))
        expectThat(monitor.count(Invariant.ENDPOINT_LEAVING)).isEqualTo(1)
        expectThat(monitor.count(Invariant.DATA_CENTRE_OUT)).isEqualTo(0)
    }

    @Test
    fun `a request that may have run is not refused as not run`() {
        val mayHaveRun = state(RouteKind.NON_IDEMPOTENT, runs = 1)
        invariants.checkRefusal(request, mayHaveRun, Refusal(RefusalCode.ANSWER_LOST, "lost"))
        expectThat(monitor.total).isEqualTo(0)
        invariants.checkRefusal(request, mayHaveRun, Refusal(RefusalCode.OVERLOADED, "full"))
        expectThat(monitor.count(Invariant.NOT_RUN_IS_TRUE)).isEqualTo(1)
    }

    @Test
    fun `a response goes only to the caller of its own request`() {
        val head = EndpointResponseHead(
            status = 200,
            genuine = true,
            requestId = RequestId("r2"),
            notRun = false,
            wrongEndpoint = false,
            endpoint = null,
            load = null,
            idleTimeout = null,
            retryAfter = null,
            contentLength = null,
            forwardedHeaders = DefaultHttpHeaders(),
        )
        invariants.checkResponse(request, head)
        expectThat(monitor.count(Invariant.OWN_ANSWER)).isEqualTo(1)
        invariants.checkResponse(request, head.copy(requestId = request.id))
        expectThat(monitor.total).isEqualTo(1)
    }
}
