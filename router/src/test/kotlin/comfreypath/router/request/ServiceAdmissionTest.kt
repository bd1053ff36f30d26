package comfreypath.router.request

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.RequestId
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.TeamName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.overload.Admission
import comfreypath.coordination.overload.AdmissionRequest
import comfreypath.coordination.overload.Occupancy
import comfreypath.coordination.overload.OverloadPolicy
import comfreypath.coordination.placement.Candidate
import comfreypath.coordination.routing.Destination
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Route
import comfreypath.coordination.routing.RouteKind
import comfreypath.router.MonotonicClock
import comfreypath.router.TestContext
import comfreypath.router.sending.ServiceProgress
import comfreypath.transport.ResponseWriter
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.time.Duration
import java.time.InstantSource
import java.util.Random

class ServiceAdmissionTest {
    private val clock = InstantSource.fixed(MonotonicClock().instant())
    private val context = TestContext.create(clock)
    private val progress = ServiceProgress()
    private val peers = object : LivePeers {
        override val names = emptyList<InstanceName>()
        override val loadsAge: Duration = Duration.ZERO
        override fun inFlight(nameHash: Long) = 0
    }
    private val admission = ServiceAdmission(context, progress, peers)
    private val service = ServiceName("models")
    private val route = Route(
        name = "chat",
        host = "host",
        pathPrefix = "/",
        kind = RouteKind.IDEMPOTENT,
        timeout = Duration.ofSeconds(1),
        latencyTarget = Duration.ofMillis(200),
        gapTarget = null,
        priority = 0,
        destinations = persistentListOf(Destination(service, weight = 1)),
        maxAttempts = 2,
        public = false,
        cacheAffinity = false,
        resumable = false,
    )

    private fun candidate(load: Int, tellsPace: Boolean) = Candidate(
        endpoint = Endpoint(
            name = EndpointName("models-1"),
            service = service,
            host = "127.0.0.1",
            port = 1,
            dataCentre = DataCentreName("south"),
            version = VersionName("v1"),
            slots = 4,
            draining = false,
            coldMilliseconds = 0,
            startedAt = 1L,
        ),
        nameHash = 1,
        load = load,
        tellsPace = tellsPace,
    )

    private fun exchange(id: Int, team: TeamName) = CallerExchange(
        CallerRequest(
            id = RequestId("r$id"),
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
        it.route = route
        it.team = team
    }

    @Test
    fun `services whose endpoints tell no pace are decided by numbers of requests as before`() {
        val random = Random(1)
        val before = OverloadPolicy()
        val seen = (1..CASES).map { case ->
            val team = TeamName("team-${if (random.nextInt(5) == 0) random.nextInt(3) else 0}")
            if (random.nextBoolean()) progress.recordStart(service, team)
            progress.recordTimes(service, route.name, Duration.ofMillis(100), Duration.ofMillis(200))
            val candidates = List(3) { candidate(load = random.nextInt(24), tellsPace = false) }
            val exchange = exchange(case, team)
            val expected = before.admit(
                AdmissionRequest(team, route.timeout, exchange.request.jitter),
                candidates.asSequence().map { Occupancy(it.load, it.endpoint.slots) },
                progress.expectedTimes(service, route.name),
                progress.inProgressByTeam(service),
            )
            expectThat(admission.admit(exchange, service, candidates)).isEqualTo(expected)
            expected
        }
        expectThat(seen.filterIsInstance<Admission.Refused>().map { it.reason }.distinct().size).isGreaterThan(1)
    }

    @Test
    fun `a service whose endpoints tell their pace refuses by work, and counts it`() {
        val full = listOf(candidate(load = 40, tellsPace = true))
        val decisions = (1..CASES).map { admission.admit(exchange(it, TeamName("team")), service, full) }
        expectThat(decisions.last()).isA<Admission.Refused>()
        expectThat(context.metrics.prometheusText().decodeToString()).contains("comfreypath_room_refused_total{reason=")
    }

    @Test
    fun `a request that was admitted before is not charged again`() {
        val full = listOf(candidate(load = 40, tellsPace = true))
        val offered = exchange(1, TeamName("team")).also { it.offered = true }
        expectThat(List(CASES) { admission.admit(offered, service, full) }.distinct())
            .isEqualTo(listOf(Admission.Admitted))
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
        const val CASES = 200
    }
}
