package comfreypath.router.rollout

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import comfreypath.coordination.fleet.GossipOptions
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.RequestId
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Destination
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Rollout
import comfreypath.coordination.routing.RolloutState
import comfreypath.coordination.routing.Route
import comfreypath.coordination.routing.RouteKind
import comfreypath.router.MonotonicClock
import comfreypath.router.TestContext
import comfreypath.router.peers.PeerGossip
import comfreypath.router.request.CallerExchange
import comfreypath.router.request.CallerRequest
import comfreypath.router.request.RouteAddress
import comfreypath.router.sending.EndpointTracker
import comfreypath.router.store.ScriptedStore
import comfreypath.router.store.StoredObject
import comfreypath.router.view.ClusterView
import comfreypath.transport.ResponseWriter
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isEqualTo
import java.time.Duration

class VersionRolloutsTest {
    private val clock = MonotonicClock()
    private val context = TestContext.create(clock)
    private val view = ClusterView(context)
    private val peers = PeerGossip(context, view, EndpointTracker(context), { true }, GossipOptions())
    private val rollouts = VersionRollouts(context, ScriptedStore(), view, peers)
    private val service = ServiceName("model")
    private val endpoints = listOf(endpoint("old", "v1"), endpoint("new", "v2"))
    private var revision = 0L

    @AfterEach
    fun stop() {
        context.loop.parent().shutdownGracefully()
    }

    private fun endpoint(name: String, version: String) = Endpoint(
        name = EndpointName(name),
        service = service,
        host = "127.0.0.1",
        port = 1,
        dataCentre = DataCentreName("south"),
        version = VersionName(version),
        slots = 4,
        draining = false,
        coldMilliseconds = 0,
        startedAt = null,
    )

    private val exchange = CallerExchange(
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
    ).also {
        it.route = Route(
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
    }

    /** The store lists the order of a rollout to v2 that was rolled back, as [orders] gives it. */
    private fun list(orders: List<Result<Rollout, String>>) {
        revision += 1
        view.rollouts.replace(
            orders.map { StoredObject(service.text, revision, it, document = "{}") },
            revision = revision,
            confirmedAt = clock.instant(),
        )
    }

    private fun allowed(): List<String> = rollouts.allowed(endpoints, exchange, retry = false).map { it.name.text }

    @Test
    fun `a version that was rolled back gets no traffic while the order is unreadable`() {
        val target = VersionName("v2")
        rollouts.start()
        list(listOf(Ok(Rollout(service, target, Duration.ofSeconds(10), RolloutState.ROLLED_BACK, target))))
        expectThat(allowed()).isEqualTo(listOf("old"))
        list(listOf(Err("an odd value")))
        expectThat(allowed()).isEqualTo(listOf("old"))
    }

    private fun order(target: String, state: RolloutState? = null, stateTarget: String? = null) = Rollout(
        service = service,
        target = VersionName(target),
        duration = Duration.ofSeconds(10),
        state = state,
        stateTarget = stateTarget?.let { VersionName(it) },
    )

    private val rolledBack = order("v2", RolloutState.ROLLED_BACK, "v2")

    /** The endpoints to which the first attempt of a request, and a retry, may be sent now. */
    private fun served(): Set<String> {
        val usable = listOf(endpoint("old", "v1"), endpoint("bad", "v2"), endpoint("next", "v3"))
        val first = rollouts.allowed(usable, exchange, retry = false)
        return (first + rollouts.allowed(usable, exchange, retry = true)).map { it.name.text }.toSet()
    }

    @Test
    fun `a version that was rolled back gets no traffic when the next one is ordered`() {
        rollouts.start()
        list(listOf(Ok(rolledBack)))
        list(listOf(Ok(order("v3", RolloutState.ROLLED_BACK, "v2"))))
        expectThat(served()).doesNotContain("bad")
    }

    @Test
    fun `a version that was rolled back gets no traffic when its order is removed, or made anew for another version`() {
        rollouts.start()
        list(listOf(Ok(rolledBack)))
        list(emptyList())
        expectThat(served()).isEqualTo(setOf("old", "next"))
        list(listOf(Ok(order("v3"))))
        expectThat(served()).doesNotContain("bad")
    }

    @Test
    fun `a router that starts after the next order reads from its status which versions were bad`() {
        rollouts.start()
        list(listOf(Ok(order("v3", RolloutState.ROLLED_BACK, "v2"))))
        expectThat(served()).doesNotContain("bad")
    }

    @Test
    fun `a version that was not completed does not count as one that served before`() {
        rollouts.start()
        list(listOf(Ok(order("v2", RolloutState.RUNNING, "v2"))))
        list(listOf(Ok(order("v3", RolloutState.RUNNING, "v2"))))
        expectThat(served()).doesNotContain("bad")
    }

    @Test
    fun `a version that was rolled back is tried again once it is ordered, and serves once it is completed`() {
        rollouts.start()
        list(listOf(Ok(rolledBack)))
        list(listOf(Ok(order("v1", RolloutState.COMPLETED, "v1"))))
        list(listOf(Ok(order("v2", RolloutState.COMPLETED, "v2"))))
        expectThat(served()).contains("bad")
        list(listOf(Ok(order("v3", RolloutState.RUNNING, "v3"))))
        expectThat(served()).contains("bad")
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
