package comfreypath.router.request

import com.github.michaelbull.result.Ok
import comfreypath.coordination.fleet.GossipOptions
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.RequestId
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.CallerLimits
import comfreypath.coordination.routing.Configuration
import comfreypath.coordination.routing.Destination
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Route
import comfreypath.coordination.routing.RouteKind
import comfreypath.coordination.routing.Service
import comfreypath.router.MonotonicClock
import comfreypath.router.TestContext
import comfreypath.router.evidence.AttemptEvidence
import comfreypath.router.peers.PeerGossip
import comfreypath.router.rollout.VersionRollouts
import comfreypath.router.sending.EndpointTracker
import comfreypath.router.sending.RetryBudgets
import comfreypath.router.sending.ServiceProgress
import comfreypath.router.sending.Trackers
import comfreypath.router.store.ScriptedStore
import comfreypath.router.store.StoredObject
import comfreypath.router.view.ClusterView
import comfreypath.transport.HttpConnector
import comfreypath.transport.ResponseWriter
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.time.Duration

class EndpointSelectorTest {
    private val clock = MonotonicClock()
    private val context = TestContext.create(clock)
    private val view = ClusterView(context)
    private val tracker = EndpointTracker(context)
    private val peers = PeerGossip(context, view, tracker, { true }, GossipOptions())
    private val trackers = Trackers(
        endpoints = tracker,
        retries = RetryBudgets(context) { 1 },
        progress = ServiceProgress(),
        rollouts = VersionRollouts(context, ScriptedStore(), view, peers),
        evidence = AttemptEvidence(context, HttpConnector(context.loop), tracker, view.endpoints, peers),
    )
    private val selector = EndpointSelector(context, view, trackers, peers)
    private val service = ServiceName("plain")
    private val route = Route(
        name = "route",
        host = "host",
        pathPrefix = "/",
        kind = RouteKind.IDEMPOTENT,
        timeout = Duration.ofSeconds(1),
        latencyTarget = Duration.ofMillis(100),
        gapTarget = null,
        priority = 0,
        destinations = persistentListOf(Destination(service, weight = 1)),
        maxAttempts = 2,
        public = true,
        cacheAffinity = false,
        resumable = false,
    )

    private fun registerColdEndpoint() {
        val configuration = Configuration(
            version = 1,
            routes = persistentListOf(route),
            services = persistentMapOf(
                service to Service(
                    name = service,
                    healthPath = "/health",
                    maxConnections = 10,
                    coldStart = Duration.ofSeconds(60),
                    coldRequestsPerSecond = 1.0,
                    engine = null,
                ),
            ),
            limits = CallerLimits(),
            teams = null,
        )
        view.configuration.update(configuration, revision = 1, confirmedAt = clock.instant(), document = "{}")
        val endpoint = Endpoint(
            name = EndpointName("plain-1"),
            service = service,
            host = "127.0.0.1",
            port = 1,
            dataCentre = DataCentreName("south"),
            version = VersionName("v1"),
            slots = 4,
            draining = false,
            coldMilliseconds = 60_000,
            startedAt = null,
        )
        view.endpoints.entries.replace(
            listOf(StoredObject(endpoint.name.text, 1, Ok(endpoint), document = "{}")),
            revision = 1,
            confirmedAt = clock.instant(),
        )
    }

    private fun exchange() = CallerExchange(
        CallerRequest(
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
            receivedAt = clock.instant(),
        ),
        UnusedWriter,
    ).also { it.route = route }

    @Test
    fun `a selection that no attempt uses takes nothing of a cold endpoint's rate`() {
        registerColdEndpoint()
        val exchange = exchange()
        val selected = List(3) { selector.select(exchange, emptySet()) }
        selected.forEach { expectThat(it).isA<SelectionResult.Selected>() }
        expectThat(exchange.offered).isFalse()
        selector.recordAttempt(exchange, (selected.last() as SelectionResult.Selected).selection)
        expectThat(exchange.offered).isTrue()
        expectThat(selector.select(exchange, emptySet())).isEqualTo(SelectionResult.NoEndpoint)
    }

    private object UnusedWriter : ResponseWriter {
        override val started: Boolean get() = false

        override suspend fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteArray) =
            error("not used")

        override suspend fun start(status: HttpResponseStatus, headers: HttpHeaders, length: Long?) = error("not used")

        override suspend fun writeChunk(bytes: ByteArray) = error("not used")

        override suspend fun end() = error("not used")

        override fun abort() = error("not used")
    }
}
