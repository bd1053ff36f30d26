package comfreypath.router.request

import com.github.michaelbull.result.Ok
import comfreypath.coordination.evidence.PartReport
import comfreypath.coordination.evidence.ReportedCrash
import comfreypath.coordination.fleet.GossipOptions
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.RequestId
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Destination
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Prompt
import comfreypath.coordination.routing.PromptPart
import comfreypath.coordination.routing.Route
import comfreypath.coordination.routing.RouteKind
import comfreypath.coordination.verdict.Alternative
import comfreypath.coordination.verdict.RetryState
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
import comfreypath.transport.ConnectionPool
import comfreypath.transport.HttpConnector
import comfreypath.transport.RequestHead
import comfreypath.transport.ResponseWriter
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.time.Duration

class AttemptTargetsTest {
    private val clock = MonotonicClock()
    private val context = TestContext.create(clock)
    private val view = ClusterView(context)
    private val tracker = EndpointTracker(context)
    private val peers = PeerGossip(context, view, tracker, { true }, GossipOptions())
    private val connector = HttpConnector(context.loop)
    private val trackers = Trackers(
        endpoints = tracker,
        retries = RetryBudgets(context) { 1 },
        progress = ServiceProgress(),
        rollouts = VersionRollouts(context, ScriptedStore(), view, peers),
        evidence = AttemptEvidence(context, connector, tracker, view.endpoints, peers).also { it.start() },
        dataCentres = DataCentreTracker(context),
    )
    private val dialect = object : EndpointDialect {
        override fun encode(request: CallerRequest, plan: SendPlan): RequestHead = error("nothing is sent")

        override fun read(status: Int, headers: HttpHeaders): EndpointResponseHead = error("nothing is sent")
    }
    private val dependencies = RelayDependencies(
        context = context,
        selector = EndpointSelector(context, view, trackers, peers),
        sender = EndpointSender(context, ConnectionPool(connector, clock), dialect, tracker),
        trackers = trackers,
        invariants = RelayInvariants(context, view),
        streams = object : StreamFormat {},
    )
    private val service = ServiceName("model")
    private val route = Route(
        name = "follow",
        host = "host",
        pathPrefix = "/",
        kind = RouteKind.STREAMING,
        timeout = Duration.ofSeconds(10),
        latencyTarget = Duration.ofMillis(100),
        gapTarget = null,
        priority = 0,
        destinations = persistentListOf(Destination(service, weight = 1)),
        maxAttempts = 2,
        public = true,
        cacheAffinity = true,
        resumable = true,
    )

    @AfterEach
    fun stop() {
        context.loop.parent().shutdownGracefully()
    }

    private fun register(vararg endpoints: Endpoint) = view.endpoints.entries.replace(
        endpoints.map { StoredObject(it.name.text, 1, Ok(it), document = "{}") },
        revision = 1,
        confirmedAt = clock.instant(),
    )

    private fun endpoint(name: String) = Endpoint(
        name = EndpointName(name),
        service = service,
        host = "127.0.0.1",
        port = 1,
        dataCentre = DataCentreName("south"),
        version = VersionName("v1"),
        slots = 4,
        draining = false,
        coldMilliseconds = 0,
        startedAt = null,
    )

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
            prompt = Prompt(
                model = "m",
                promptTokens = 200,
                maxOutputTokens = 70,
                parts = persistentListOf(PromptPart(SUSPECTED_PART, 100), PromptPart(OWN_PART, 100)),
                expectedOutputTokens = null,
            ),
            lastEventId = null,
            receivedAt = clock.instant(),
        ),
        UnusedWriter,
    ).also { it.route = route }

    /** A peer has seen two endpoints crash with requests that have the part. */
    private fun suspectPart() = peers.onPartReports(
        InstanceName("router-2"),
        listOf(PartReport(SUSPECTED_PART, crashes = TWO_CRASHES)),
    )

    /** Begins an attempt of [exchange]; returns whether the request may leave its endpoint, after [meanwhile]. */
    private fun alternative(
        exchange: CallerExchange,
        silence: Duration = Duration.ofMillis(1_000),
        meanwhile: (current: Endpoint, other: Endpoint) -> Unit = { _, _ -> },
    ): Alternative {
        val (first, second) = listOf(endpoint("model-1"), endpoint("model-2"))
        register(first, second)
        val targets = AttemptTargets(dependencies, exchange)
        val selected = targets.select(RetryState(route, exchange.deadline))
        expectThat(selected).isA<SelectionResult.Selected>()
        val selection = (selected as SelectionResult.Selected).selection
        targets.recordTried(selection.endpoint.name)
        meanwhile(selection.endpoint, if (selection.endpoint == first) second else first)
        return targets.reserve(selection, silence)
    }

    @Test
    fun `a request with a suspected part that has no answer yet stays at its silent endpoint`() {
        suspectPart()
        expectThat(alternative(exchange())).isEqualTo(Alternative.NO_ENDPOINT)
    }

    @Test
    fun `a begun stream with a suspected part may leave its silent endpoint`() {
        suspectPart()
        val exchange = exchange().also { it.firstByteAt = clock.instant() }
        expectThat(alternative(exchange)).isEqualTo(Alternative.RESERVED)
    }

    @Test
    fun `a request stays at a silent endpoint that is draining`() {
        val drain = { current: Endpoint, other: Endpoint -> register(current.copy(draining = true), other) }
        expectThat(alternative(exchange(), meanwhile = drain)).isEqualTo(Alternative.NO_ENDPOINT)
        expectThat(alternative(exchange())).isEqualTo(Alternative.RESERVED)
    }

    /** It waited for a dead endpoint until its time was up. */
    @Test
    fun `a request leaves a draining endpoint that stays silent`() {
        val drain = { current: Endpoint, other: Endpoint -> register(current.copy(draining = true), other) }
        expectThat(alternative(exchange(), Duration.ofMillis(2_000), drain)).isEqualTo(Alternative.RESERVED)
    }

    /** After it had left, other endpoints refused it, and it could not return. */
    @Test
    fun `a request stays at a silent endpoint that has announced that it leaves`() =
        expectStays(EndpointResponseHeads.of(RequestId("r2")).copy(leaving = true))

    /** After it had left, other endpoints refused it, and it could not return. */
    @Test
    fun `a request stays at a silent endpoint that has asked for a pause`() =
        expectStays(EndpointResponseHeads.of(RequestId("r2")).copy(pause = Duration.ofSeconds(4)))

    private fun expectStays(announcement: EndpointResponseHead) {
        val announce = { current: Endpoint, _: Endpoint ->
            tracker.announcements.observe(current, announcement, RequestId("r2"))
        }
        expectThat(alternative(exchange(), meanwhile = announce)).isEqualTo(Alternative.NO_ENDPOINT)
    }

    /** Its return was refused as one more request, although it had held a slot there. */
    @Test
    fun `a request returns to the silent endpoint that it left although all endpoints are full`() {
        val exchange = exchange()
        val (silent, other) = listOf(endpoint("model-1"), endpoint("model-2"))
        register(silent, other)
        listOf(silent, other).forEach { tracker.entry(it.name).inFlight = it.slots }
        repeat(TIME_SAMPLES) {
            trackers.progress.recordTimes(service, route.name, Duration.ofSeconds(5), Duration.ofSeconds(20))
        }
        val targets = AttemptTargets(dependencies, exchange)
        targets.recordTried(silent.name)
        targets.recordLeft(silent.name)
        targets.recordTried(other.name)
        expectThat(targets.select(RetryState(route, exchange.deadline, runs = 1, refusals = 1)))
            .isA<SelectionResult.Selected>().get { selection.endpoint }.isEqualTo(silent)
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
        const val TIME_SAMPLES = 10
        const val SUSPECTED_PART = 0xdeadL
        const val OWN_PART = 0x1L
        val TWO_CRASHES = listOf(
            ReportedCrash(endpointKey = 1, age = Duration.ofSeconds(5)),
            ReportedCrash(endpointKey = 2, age = Duration.ofSeconds(3)),
        )
    }
}
