package comfreypath.daemon

import com.github.michaelbull.result.fold
import comfreypath.coordination.limits.RetryBounds
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.routing.Configuration
import comfreypath.coordination.routing.Destination
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Route
import comfreypath.daemon.demo.PlatformCaller
import comfreypath.daemon.demo.PlatformLayout
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.router.telemetry.RouterMetrics
import comfreypath.standins.PlatformServerStandIn
import comfreypath.transport.Address
import comfreypath.transport.ClientResponse
import comfreypath.transport.dispatcher
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isContainedIn
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import java.time.Duration
import kotlin.random.Random

/** Guards against requests to sound servers that end unanswered or with a failure because the server paused. */
class PausingServersTest {
    private val seed = System.getProperty("seed")?.toLong() ?: 1_000L
    private val ran = PausingServer.sharedSet()
    private val plain = ServiceName(PlatformLayout.PLAIN_SERVICE)
    private val model = ServiceName(PlatformLayout.MODEL_SERVICE)
    private val otherPlain = ServiceName("other-plain")
    private val otherModel = ServiceName("other-model")

    /** What happens beside the requests. */
    internal enum class Disruption { NONE, CONFIGURATION, ENDPOINTS, RELOAD, STOP }

    /** An answer or its absence, and how long its caller waited. */
    private class Ended(val request: PlatformRequest, val response: ClientResponse?, val waited: Duration)

    /** The layout's configuration, and a second service beside each of its two. */
    private val original = PlatformLayout.configuration().let { layout ->
        layout.copy(
            services = layout.services.toPersistentMap()
                .put(otherPlain, layout.services.getValue(plain).copy(name = otherPlain))
                .put(otherModel, layout.services.getValue(model).copy(name = otherModel)),
        )
    }

    private fun Configuration.mapRoutes(change: (Route) -> Route) = copy(routes = routes.map(change).toImmutableList())

    private fun Route.other(): ServiceName = if (streaming) otherModel else otherPlain

    private val changes = listOf<(Configuration) -> Configuration>(
        { it.mapRoutes { route -> route.copy(destinations = persistentListOf(Destination(route.other(), 1))) } },
        { it.copy(routes = it.routes.filter { route -> route.name != "history" }.toImmutableList()) },
        {
            it.mapRoutes { route ->
                route.copy(destinations = persistentListOf(route.destinations.first(), Destination(route.other(), 1)))
            }
        },
        { it.mapRoutes { route -> route.copy(timeout = SHORT_TIMEOUT) } },
        { it.mapRoutes { route -> route.copy(timeout = LONG_TIMEOUT) } },
        { it.copy(teams = it.teams.orEmpty().take(1).toImmutableList()) },
        { it.copy(limits = it.limits.copy(idleTimeout = SHORT_IDLE_TIMEOUT)) },
        { it.mapRoutes { route -> route.copy(maxAttempts = 1) } },
    )

    private fun request(random: Random, number: String): PlatformRequest {
        val id = "${PausingServer.PAUSING}$seed-$number"
        val key = if (random.nextInt(3) == 0) "key-2" else "key-1"
        val tokens = "1612,${random.nextInt(8, 60)}"
        return when (random.nextInt(4)) {
            0 -> PlatformRequest("draft", id, tokens, key = key)
            1 -> PlatformRequest("follow", id, tokens, key = key)
            2 -> PlatformRequest("book", id, key = key, body = ByteArray(random.nextInt(1, 20_000)))
            else -> PlatformRequest("history", id, key = key)
        }
    }

    private fun expectedText(request: PlatformRequest, fixture: PlatformFixture): String = request.tokens
        ?.let { fixture.expectedStream(request.id, it) }
        ?: PlatformServerStandIn.responseBody(request.id).decodeToString()

    /** Registers [count] pausing servers of each service in place of the stand-ins. */
    private suspend fun PlatformFixture.registerServers(count: Int): List<Pair<Endpoint, PausingServer>> {
        val servers = listOf(plain, model, otherPlain, otherModel).flatMap { service ->
            List(count) { number ->
                val server = PausingServer(seed, ran)
                PlatformLayout.endpoint("$service-raw-$number", service.text, number, server.endpoint.address) to server
            }
        }
        servers.forEach { (endpoint, _) -> fleet.storeAdmin.register(endpoint) }
        val standIns = fleet.engines + fleet.plainServers
        standIns.forEach { fleet.storeAdmin.deregister(it.endpoint) }
        fleet.storeAdmin.updateConfiguration { original.copy(version = it.version) }
        var probes = 0
        eventually("all requests at the pausing servers") {
            val ids = List(4) { "warm-up-${probes++}" }
            coroutineScope {
                ids.flatMap { listOf(PlatformRequest("open", it), PlatformRequest("draft", "d$it", "8,7")) }
                    .map { async { call(it) } }.awaitAll()
            }
            ids.all { requestsSeen(it).isEmpty() && requestsSeen("d$it").isEmpty() }
        }
        return servers
    }

    private suspend fun PlatformFixture.disrupt(disruption: Disruption, servers: List<Endpoint>) {
        val router = fleet.routers.first()
        var number = 0
        while (disruption != Disruption.NONE) {
            when (disruption) {
                Disruption.NONE, Disruption.STOP -> Unit
                Disruption.CONFIGURATION -> fleet.storeAdmin.updateConfiguration { current ->
                    val change = changes[number / 2 % changes.size].takeIf { number % 2 == 0 }
                    (change?.invoke(original) ?: original).copy(version = current.version)
                }
                Disruption.ENDPOINTS -> change(servers[number / 2 % servers.size], leaving = number % 2 == 0)
                Disruption.RELOAD -> withContext(router.loop.dispatcher()) {
                    router.router.reload(router.options.copy(maxConnections = 300 + number), "test")
                }
            }
            number += 1
            delay(CHANGE_INTERVAL_MILLISECONDS)
        }
    }

    /** Drains or removes a server that is [leaving]; otherwise registers it again. */
    private suspend fun PlatformFixture.change(endpoint: Endpoint, leaving: Boolean) {
        val drains = endpoint.name.text.hashCode() % 2 == 0
        when {
            drains -> fleet.storeAdmin.updateRegistration(endpoint.copy(draining = leaving))
            leaving -> fleet.storeAdmin.deregister(endpoint)
            else -> fleet.storeAdmin.register(endpoint)
        }
    }

    private suspend fun PlatformFixture.callAll(address: Address): List<Ended> = coroutineScope {
        val client = PlatformCaller(fleet.callerLoop)
        List(CALLERS) { caller ->
            val random = Random(seed + caller)
            async {
                List(REQUESTS_PER_CALLER) { number ->
                    delay(random.nextLong(MAX_THINK_MILLISECONDS))
                    val request = request(random, "$caller-$number")
                    val startedAt = System.nanoTime()
                    val response = client.call(address, request).fold({ it }, { null })
                    Ended(request, response, Duration.ofNanos(System.nanoTime() - startedAt))
                }
            }
        }.awaitAll().flatten()
    }

    private fun expectEnded(ended: Ended, fixture: PlatformFixture, disruption: Disruption) {
        val request = ended.request
        val status = ended.response?.status
        val described = "${request.route} ${request.id}, $disruption, seed $seed"
        expectThat(ended.waited).describedAs("wait of $described").isLessThan(LONG_TIMEOUT + LATENESS)
        when (status) {
            200 -> expectThat(ended.response.text()).describedAs(described).isEqualTo(expectedText(request, fixture))
            // A connection that the router has closed as idle, or a listener that is closed.
            null -> expectThat(ran).describedAs("the servers that ran unanswered $described")
                .get { filter { it == request.id } }.isEmpty()
            502, 504 -> expectThat(ended.waited).describedAs("wait of failed $described, status $status")
                .isGreaterThanOrEqualTo(SHORT_TIMEOUT - LATENESS)
            else -> {
                expectThat(status).describedAs("status of $described").isContainedIn(listOf(401, 404, 429, 503))
                expectThat(request.id in ran).describedAs("$described, status $status, has run").isEqualTo(false)
            }
        }
    }

    private fun total(metrics: RouterMetrics, name: String): Int = metrics.prometheusText().decodeToString().lines()
        .filter { it.startsWith(name) }
        .sumOf { it.substringAfterLast(' ').toDouble().toInt() }

    private fun play(disruption: Disruption, servers: Int, retries: RetryBounds?) {
        val fixture = PlatformFixture { options ->
            retries?.let { options.copy(bounds = options.bounds.copy(retries = it)) } ?: options
        }
        fixture.run {
            val running = fleet.routers.first()
            val registered = registerServers(servers)
            coroutineScope {
                val disrupting = launch { disrupt(disruption, registered.map { it.first }) }
                val stopping = launch {
                    delay(STOP_AFTER_MILLISECONDS)
                    if (disruption == Disruption.STOP) fleet.stopRouter(running)
                }
                val ended = callAll(running.options.callerAddress)
                disrupting.cancel()
                stopping.join()
                ended.forEach { expectEnded(it, fixture, disruption) }
                expectThat(ended.count { it.response?.status == 200 }).isGreaterThan(CALLERS / 2)
            }
            val metrics = running.router.routerMetrics
            expectThat(total(metrics, "comfreypath_requests_unanswered_total")).describedAs("unanswered, seed $seed")
                .isEqualTo(0)
            registered.forEach { (_, server) -> server.endpoint.close() }
        }
    }

    @ParameterizedTest
    @EnumSource(names = ["CONFIGURATION", "STOP"])
    internal fun `requests to single servers that pause are answered`(disruption: Disruption) =
        play(disruption, servers = 1, retries = null)

    @ParameterizedTest
    @EnumSource
    internal fun `requests to servers that pause are answered`(disruption: Disruption) =
        play(disruption, servers = 3, retries = null)

    @Test
    fun `requests to servers that pause are answered when retries are exhausted`() =
        play(Disruption.CONFIGURATION, servers = 3, retries = FEW_RETRIES)

    private companion object {
        val SHORT_TIMEOUT: Duration = Duration.ofMillis(3_600)
        val LONG_TIMEOUT: Duration = Duration.ofSeconds(6)
        val LATENESS: Duration = Duration.ofMillis(400)
        val SHORT_IDLE_TIMEOUT: Duration = Duration.ofMillis(100)
        val FEW_RETRIES = RetryBounds(share = 0.0, slack = 8.0, window = Duration.ofHours(1))
        const val CHANGE_INTERVAL_MILLISECONDS = 150L
        const val STOP_AFTER_MILLISECONDS = 700L
        const val MAX_THINK_MILLISECONDS = 300L
        const val CALLERS = 24
        const val REQUESTS_PER_CALLER = 2
    }
}
