package comfreypath.router.request

import com.github.michaelbull.result.Ok
import comfreypath.coordination.fleet.GossipOptions
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.RequestId
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.overload.RefusalReason
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.routing.CallerLimits
import comfreypath.coordination.routing.Configuration
import comfreypath.coordination.routing.Destination
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Prompt
import comfreypath.coordination.routing.PromptPart
import comfreypath.coordination.routing.Route
import comfreypath.coordination.routing.RouteKind
import comfreypath.coordination.routing.Service
import comfreypath.router.MonotonicClock
import comfreypath.router.TestContext
import comfreypath.router.evidence.AttemptEvidence
import comfreypath.router.peers.PeerGossip
import comfreypath.router.rollout.VersionRollouts
import comfreypath.router.sending.DataCentreTracker
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
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
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
        dataCentres = DataCentreTracker(context),
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

    private fun registerColdEndpoint() = register(endpoint("plain-1", coldMilliseconds = 60_000))

    private fun endpoint(name: String, coldMilliseconds: Long = 0, startedAt: Long? = 1L) = Endpoint(
        name = EndpointName(name),
        service = service,
        host = "127.0.0.1",
        port = 1,
        dataCentre = DataCentreName("south"),
        version = VersionName("v1"),
        slots = 4,
        draining = false,
        coldMilliseconds = coldMilliseconds,
        startedAt = startedAt,
    )

    private fun register(vararg endpoints: Endpoint) {
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
        view.endpoints.entries.replace(
            endpoints.map { StoredObject(it.name.text, 1, Ok(it), document = "{}") },
            revision = 1,
            confirmedAt = clock.instant(),
        )
    }

    private fun exchange(id: String = "r1", prompt: Prompt? = null) = CallerExchange(
        CallerRequest(
            id = RequestId(id),
            address = RouteAddress("host", "/"),
            method = HttpMethod.GET,
            uri = "/",
            forwardedHeaders = DefaultHttpHeaders(),
            body = ByteArray(0),
            timeBudget = null,
            apiKey = null,
            prompt = prompt,
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

    private fun announce(endpoint: Endpoint, change: EndpointResponseHead.() -> EndpointResponseHead) =
        tracker.announcements.observe(endpoint, EndpointResponseHeads.of(RequestId("r0")).change(), RequestId("r0"))

    private fun limit(endpoint: Endpoint, rate: Double) {
        val head = EndpointResponseHeads.of(RequestId("r0")).copy(rateLimit = rate)
        tracker.limits.observe(endpoint, head, RequestId("r0"), sentAt = clock.instant())
    }

    private fun selected(): Set<String> = (1..SELECTIONS).mapNotNull {
        val result = selector.select(exchange("r$it"), emptySet())
        (result as? SelectionResult.Selected)?.selection?.endpoint?.name?.text
    }.toSet()

    @Test
    fun `an endpoint that leaves or pauses gets no request while another one can take it`() {
        val leaving = endpoint("a")
        val paused = endpoint("b")
        register(leaving, paused, endpoint("c"))
        expectThat(selected()).isEqualTo(setOf("a", "b", "c"))
        val before = (selector.select(exchange(), emptySet()) as SelectionResult.Selected).selection
        announce(leaving) { copy(leaving = true) }
        announce(paused) { copy(pause = Duration.ofMinutes(1)) }
        expectThat(selected()).isEqualTo(setOf("c"))
        expectThat(selector.accepts(Selection(leaving, 0, 0.0, null, before.basis))).isFalse()
        expectThat(selector.accepts(Selection(paused, 0, 0.0, null, before.basis))).isFalse()
    }

    @Test
    fun `an announcement does not outlast the start of the server that made it`() {
        val old = endpoint("a", startedAt = 1)
        register(old)
        announce(old) { copy(leaving = true) }
        expectThat(selected()).isEqualTo(emptySet())
        register(endpoint("a", startedAt = 2))
        expectThat(selected()).isEqualTo(setOf("a"))
    }

    @Test
    fun `an announcement outlasts an entry that is missing for a while`() {
        val endpoint = endpoint("a")
        register(endpoint)
        announce(endpoint) { copy(leaving = true) }
        register()
        tracker.announcements.sweep(view.endpoints::isUsable)
        register(endpoint)
        tracker.announcements.sweep(view.endpoints::isUsable)
        expectThat(selected()).isEqualTo(emptySet())
    }

    @Test
    fun `the refusal while all endpoints pause or leave says when the first pause ends`() {
        val endpoints = listOf(endpoint("a"), endpoint("b"), endpoint("c"))
        register(*endpoints.toTypedArray())
        announce(endpoints[0]) { copy(leaving = true) }
        announce(endpoints[1]) { copy(pause = Duration.ofSeconds(30)) }
        announce(endpoints[2]) { copy(pause = Duration.ofSeconds(60)) }
        expectThat(selector.select(exchange(), emptySet())).isA<SelectionResult.AllOut>().and {
            get { paused }.isEqualTo(2)
            get { leaving }.isEqualTo(1)
            get { untilFirstReturn }.isNotNull().isGreaterThan(Duration.ofSeconds(29))
                .isLessThanOrEqualTo(Duration.ofSeconds(30))
        }
    }

    /** When their pauses had ended, all routers sent them all that they had, and they paused again. */
    @Test
    fun `requests beyond a router's share are refused while all endpoints return from a pause`() {
        val endpoint = endpoint("a")
        register(endpoint)
        announce(endpoint) { copy(pause = PAUSE) }
        Thread.sleep(PAUSE.toMillis() + 1)
        tracker.entry(endpoint.name).inFlight = MAX_LOAD_PER_SLOT * endpoint.slots - 1
        expectThat(selector.select(exchange(), emptySet())).isA<SelectionResult.Selected>()
        tracker.entry(endpoint.name).inFlight += 1
        expectThat(selector.select(exchange(), emptySet())).isA<SelectionResult.Overloaded>()
            .get { admission.reason }.isEqualTo(RefusalReason.RETURNING)
        expectThat(selector.select(exchange(), emptySet(), held = setOf(endpoint.name)))
            .describedAs("a request that has held a slot there").isA<SelectionResult.Selected>()
    }

    @Test
    fun `an endpoint that was tried and has not paused is not counted as out`() {
        val endpoints = listOf(endpoint("a"), endpoint("b"))
        register(*endpoints.toTypedArray())
        announce(endpoints[0]) { copy(pause = Duration.ofSeconds(30)) }
        expectThat(selector.select(exchange(), setOf(EndpointName("b")))).isEqualTo(SelectionResult.NoEndpoint)
    }

    @Test
    fun `an endpoint whose rate is used up gets no request while another one can take it`() {
        val limited = endpoint("a")
        register(limited, endpoint("b"))
        expectThat(selected()).isEqualTo(setOf("a", "b"))
        limit(limited, rate = 0.5)
        expectThat(selected()).isEqualTo(setOf("b"))
    }

    /** The caller of a request that a full endpoint had refused was told to wait for the rate of another one. */
    @Test
    fun `an endpoint that was tried and has no limit is not counted as limited`() {
        val limited = endpoint("a")
        register(limited, endpoint("b"))
        limit(limited, rate = 0.1)
        expectThat(selector.select(exchange(), setOf(EndpointName("b")))).isEqualTo(SelectionResult.NoEndpoint)
    }

    /** A request left it while it was silent, was refused elsewhere, and could not come back. */
    @Test
    fun `an endpoint whose rate is used up bars the return of its requests`() {
        val limited = endpoint("a")
        register(limited)
        val selected = selector.select(exchange(), emptySet()) as SelectionResult.Selected
        expectThat(selector.barsReturn(selected.selection)).isEqualTo(false)
        limit(limited, rate = 0.1)
        expectThat(selector.barsReturn(selected.selection)).isEqualTo(true)
    }

    @Test
    fun `an endpoint that pauses is not counted as limited`() {
        val endpoints = listOf(endpoint("a"), endpoint("b"))
        register(*endpoints.toTypedArray())
        limit(endpoints[0], rate = 0.1)
        announce(endpoints[1]) { copy(pause = Duration.ofSeconds(1)) }
        expectThat(selector.select(exchange(), emptySet())).isEqualTo(SelectionResult.NoEndpoint)
    }

    @Test
    fun `a prompt does not go to an endpoint with a limit that happens to have a request left`() {
        val endpoints = listOf("a", "b", "c").map { endpoint(it) }
        register(*endpoints.toTypedArray())
        val before = placedPrompts()
        expectThat(before.toSet()).isEqualTo(setOf("a", "b", "c"))
        limit(endpoints[0], rate = 1_000.0)
        Thread.sleep(SETTLE_MILLISECONDS)
        expectThat(selected()).isEqualTo(setOf("a", "b", "c"))
        expectThat(placedPrompts()).isEqualTo(before)
        limit(endpoints[1], rate = 0.1)
        val moved = placedPrompts().zip(before).filter { (now, then) -> now != then }
        expectThat(moved.toSet()).isEqualTo(setOf("c" to "b"))
    }

    /** The endpoints that some prompts are placed at. */
    private fun placedPrompts(): List<String> = (1L..SELECTIONS).map { id ->
        val parts = persistentListOf(PromptPart(hashOf("prompt $id"), tokens = 100), PromptPart(id, tokens = 10))
        val prompt = Prompt("m", promptTokens = 110, maxOutputTokens = 1, parts, expectedOutputTokens = null)
        val result = selector.select(exchange("p$id", prompt), emptySet())
        (result as SelectionResult.Selected).selection.endpoint.name.text
    }

    @Test
    fun `the refusal while the rates of all endpoints are used up says when one may get a request`() {
        val endpoints = listOf(endpoint("a"), endpoint("b"), endpoint("c"))
        register(*endpoints.toTypedArray())
        limit(endpoints[0], rate = 0.1)
        limit(endpoints[1], rate = 0.5)
        announce(endpoints[2]) { copy(leaving = true) }
        expectThat(selector.select(exchange(), emptySet())).isA<SelectionResult.AllLimited>().get { untilNextRequest }
            .isGreaterThan(Duration.ofSeconds(1)).isLessThanOrEqualTo(Duration.ofMillis(2_001))
    }

    private companion object {
        const val SELECTIONS = 50
        const val MAX_LOAD_PER_SLOT = 3
        val PAUSE: Duration = Duration.ofMillis(20)
        const val SETTLE_MILLISECONDS = 20L
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
