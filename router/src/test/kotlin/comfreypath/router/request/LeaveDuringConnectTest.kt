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
import comfreypath.router.sending.DataCentreTracker
import comfreypath.router.sending.EndpointSender
import comfreypath.router.sending.EndpointTracker
import comfreypath.router.sending.RetryBudgets
import comfreypath.router.sending.ServiceProgress
import comfreypath.router.sending.Trackers
import comfreypath.router.store.ScriptedStore
import comfreypath.router.store.StoredObject
import comfreypath.router.view.ClusterView
import comfreypath.transport.Address
import comfreypath.transport.ConnectionPool
import comfreypath.transport.HttpConnector
import comfreypath.transport.RequestHead
import comfreypath.transport.ResponseWriter
import comfreypath.transport.dispatcher
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.net.InetAddress
import java.net.ServerSocket
import java.time.Duration
import java.time.Instant

/**
 * Guards against a request that is sent to an endpoint although, while its connection was opened, the store's word
 * reached the router that the endpoint gets no more requests.
 */
class LeaveDuringConnectTest {
    private val clock = MonotonicClock()
    private val context = TestContext.create(clock)
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val view = ClusterView(context)
    private val tracker = EndpointTracker(context)
    private val peers = PeerGossip(context, view, tracker, { true }, GossipOptions())
    private val connector = HttpConnector(context.loop)
    private val pool = ConnectionPool(connector, clock)
    private val trackers = Trackers(
        endpoints = tracker,
        retries = RetryBudgets(context) { 1 },
        progress = ServiceProgress(),
        rollouts = VersionRollouts(context, ScriptedStore(), view, peers),
        evidence = AttemptEvidence(context, connector, tracker, view.endpoints, peers),
        dataCentres = DataCentreTracker(context),
    )
    private val sent = mutableListOf<EndpointName>()
    private val dialect = object : EndpointDialect {
        override fun encode(request: CallerRequest, plan: SendPlan): RequestHead {
            sent += plan.endpoint.name
            return RequestHead(HttpMethod.GET, "/", DefaultHttpHeaders())
        }

        override fun read(status: Int, headers: HttpHeaders): EndpointResponseHead = error("the endpoint is silent")
    }
    private val dependencies = RelayDependencies(
        context = context,
        selector = EndpointSelector(context, view, trackers, peers),
        sender = EndpointSender(context, pool, dialect, tracker),
        trackers = trackers,
        invariants = RelayInvariants(context, view),
        streams = object : StreamFormat {},
    )
    private val service = ServiceName("model")
    private val route = Route(
        name = "history",
        host = "host",
        pathPrefix = "/",
        kind = RouteKind.IDEMPOTENT,
        timeout = TIMEOUT,
        latencyTarget = Duration.ofMillis(100),
        gapTarget = null,
        priority = 0,
        destinations = persistentListOf(Destination(service, weight = 1)),
        maxAttempts = 2,
        public = true,
        cacheAffinity = false,
        resumable = false,
    )
    private val endpoint = Endpoint(
        name = EndpointName("model-1"),
        service = service,
        host = "127.0.0.1",
        port = listener.localPort,
        dataCentre = DataCentreName("south"),
        version = VersionName("v1"),
        slots = 4,
        draining = false,
        coldMilliseconds = 0,
        startedAt = 1L,
    )

    @AfterEach
    fun stop() {
        listener.close()
        context.scope.cancel()
        context.loop.parent().shutdownGracefully()
    }

    private fun exchange() = CallerExchange(
        CallerRequest(
            id = RequestId("r1"),
            address = RouteAddress("host", "/"),
            method = HttpMethod.GET,
            uri = "/",
            forwardedHeaders = DefaultHttpHeaders(),
            body = ByteArray(0),
            timeBudget = TIMEOUT,
            apiKey = null,
            prompt = null,
            lastEventId = null,
            receivedAt = clock.instant(),
        ),
        UnusedWriter,
    ).also { it.route = route }

    private fun register(revision: Long, vararg endpoints: Endpoint) = view.endpoints.entries.replace(
        endpoints.map { StoredObject(it.name.text, revision, Ok(it), document = "{}") },
        revision = revision,
        confirmedAt = clock.instant(),
    )

    /** Runs a request that is connecting to its endpoint when [meanwhile] happens, and expects that it is not sent. */
    private fun expectNotSent(registered: Endpoint = endpoint, meanwhile: () -> Unit) {
        runBlocking(context.loop.dispatcher()) {
            register(revision = 1, registered)
            val result = async(start = CoroutineStart.UNDISPATCHED) { AttemptLoop(dependencies, exchange()).run() }
            expectThat(pool.openCount(Address(endpoint.host, endpoint.port))).isEqualTo(1)
            expectThat(sent).isEmpty()
            meanwhile()
            expectThat(result.await()).isA<RelayResult.Refused>()
            expectThat(sent).isEmpty()
        }
    }

    @Test
    fun `a request whose endpoint began to drain while the connection was opened is not sent to it`() =
        expectNotSent { register(revision = 2, endpoint.copy(draining = true)) }

    @Test
    fun `a request whose endpoint was removed while the connection was opened is not sent to it`() =
        expectNotSent { register(revision = 2) }

    @Test
    fun `a request whose data centre was evacuated while the connection was opened is not sent there`() =
        expectNotSent {
            val evacuated = StoredObject("south", 2, Ok(DataCentreName("south")), document = "{}")
            view.evacuations.replace(listOf(evacuated), revision = 2, confirmedAt = Instant.now())
        }

    /** The next request to the endpoint, once it was back, was refused for a second or more. */
    @Test
    fun `a request that was not sent takes nothing of a cold endpoint's rate`() {
        val cold = endpoint.copy(coldMilliseconds = 60_000)
        val limited = Service(
            name = service,
            healthPath = "/health",
            maxConnections = 10,
            coldStart = Duration.ofSeconds(60),
            coldRequestsPerSecond = 0.1,
            engine = null,
        )
        val configuration = Configuration(
            version = 1,
            routes = persistentListOf(route),
            services = persistentMapOf(service to limited),
            limits = CallerLimits(),
            teams = null,
        )
        view.configuration.update(configuration, revision = 1, confirmedAt = clock.instant(), document = "{}")
        expectNotSent(cold) { register(revision = 2, cold.copy(draining = true)) }
        expectThat(tracker.entry(cold.name).coldBucket).isNotNull()
            .get { available(clock.instant()) }.isEqualTo(1.0)
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

    private companion object {
        const val BACKLOG = 5
        val TIMEOUT: Duration = Duration.ofSeconds(1)
    }
}
