package comfreypath.daemon

import com.github.michaelbull.result.getOrElse
import comfreypath.daemon.demo.PlatformCaller
import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import comfreypath.standins.PlatformServerFaults
import comfreypath.standins.ReceivedRequest
import comfreypath.transport.ClientResponse
import comfreypath.transport.IncomingRequest
import comfreypath.transport.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import java.time.Duration
import java.time.Instant
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random

private const val ROUTERS = 9
private const val CLIENTS_PER_ROUTER = 4
private const val MAX_THINK_MILLISECONDS = 40L
private const val ENGINE_REQUEST_PERCENT = 40
private const val PERCENT = 100

/** Counts the requests that endpoints get from all routers together after they have named the rate that they take. */
class RateLimitTest {
    private class Limited(val server: PlatformFleet.RunningServer, val rate: Double) {
        val since: Instant = Instant.now()
    }

    private val fixture = PlatformFixture(
        routers = ROUTERS,
        engines = 4,
        plainServers = 3,
        senderOf = { routerOf(it) },
    )
    private val fleet = fixture.fleet
    private val responses = ConcurrentLinkedQueue<ClientResponse>()

    /** The time in which the requests of a router that was restarted are not counted. */
    private var restarting: Pair<Instant, Instant>? = null

    private fun routerOf(request: IncomingRequest) =
        request.headers.get(PlatformHeaders.REQUEST_ID).orEmpty().substringBefore('-')

    private fun startClients(scope: CoroutineScope): List<Job> = (0 until ROUTERS).flatMap { router ->
        val address = fleet.routers[router].options.callerAddress
        List(CLIENTS_PER_ROUTER) { client ->
            val random = Random(router * PERCENT + client)
            val caller = PlatformCaller(fleet.callerLoop)
            scope.launch(fleet.callerLoop.dispatcher()) {
                var number = 0
                while (isActive) {
                    val response = caller.call(address, request("r$router-$client-${number++}", random))
                    response.getOrElse { null }?.let { responses += it }
                    delay(random.nextLong(MAX_THINK_MILLISECONDS))
                }
            }
        }
    }

    private fun request(id: String, random: Random): PlatformRequest {
        if (random.nextInt(PERCENT) >= ENGINE_REQUEST_PERCENT) return PlatformRequest("history", id)
        val parts = "${random.nextInt(1, PERCENT)}:512,${Integer.toHexString(id.hashCode())}:100"
        return PlatformRequest("draft", id, "612,14", headers = mapOf(PlatformHeaders.PROMPT_PARTS to parts))
    }

    private suspend fun setLimit(server: PlatformFleet.RunningServer, rate: String?) =
        fixture.setFaults(listOf(server), PlatformServerFaults(rateLimit = rate))

    private suspend fun limit(server: PlatformFleet.RunningServer, rate: String): Limited {
        setLimit(server, rate)
        return Limited(server, rate.toDouble())
    }

    private suspend fun restart(router: PlatformFleet.RunningRouter) {
        val from = Instant.now()
        fleet.stopRouter(router)
        fleet.awaitReady(fleet.launch(router.options))
        restarting = from to Instant.now() + CONTACT
    }

    private suspend fun received(server: PlatformFleet.RunningServer): List<ReceivedRequest> =
        withContext(server.loop.dispatcher()) { server.server.receivedRequests }

    /** The most requests in four seconds that the endpoint got from routers which knew its rate. */
    private suspend fun peak(limited: Limited): Int {
        val all = received(limited.server).filter { it.receivedAt >= limited.since && it.faults.rateLimit != null }
        val knownAt = all.groupBy { it.sender }.mapValues { (_, requests) -> requests.first().receivedAt + KNOWLEDGE }
        val counted = all.filter { request ->
            val excused = restarting?.let { request.sender == RESTARTED && request.receivedAt in it.first..it.second }
            request.receivedAt >= limited.since + CONTACT && request.receivedAt >= knownAt.getValue(request.sender) &&
                excused != true
        }
        return counted.maxOfOrNull { first ->
            counted.count { it.receivedAt >= first.receivedAt && it.receivedAt < first.receivedAt + WINDOW }
        } ?: 0
    }

    /** Lets endpoints name rates under load and restarts a router, then runs [check] on the limited endpoints. */
    private fun withLimits(check: suspend PlatformFixture.(List<Limited>) -> Unit) = fixture.run {
        val clients = CoroutineScope(fleet.callerLoop.dispatcher()).let(::startClients)
        delay(WARM_UP.toMillis())
        val limited = listOf(
            limit(fleet.engines[0], "4.3"),
            limit(fleet.engines[1], "5.8"),
            limit(fleet.engines[2], "12"),
            limit(fleet.plainServers[0], "4.3"),
            limit(fleet.plainServers[1], "0.5"),
            limit(fleet.plainServers[2], "20"),
        )
        delay(CONTACT.toMillis())
        restart(fleet.routers[RESTARTED_NUMBER])
        delay(WINDOW.multipliedBy(2).toMillis())
        check(limited)
        clients.forEach { it.cancelAndJoin() }
    }

    @Test
    fun `endpoints get no more requests from all routers than they take, also while a router restarts`() =
        withLimits { limited ->
            val figures = limited.map { it to peak(it) }
            figures.forEach { (limit, peak) ->
                println("${limit.server.server.name} takes ${limit.rate} per second: up to $peak in four seconds")
            }
            val excess = figures.filter { (limit, peak) -> peak > TOLERANCE * limit.rate * WINDOW.toSeconds() + SLACK }
                .map { (limit, peak) -> "${limit.server.server.name}: $peak at ${limit.rate} per second" }
            expectThat(excess.joinToString("\n")).isEqualTo("")
            expectRefusals()
        }

    @Test
    @Tag("known-red")
    fun `endpoints get most of the requests that they take, and as many as before once they name no rate`() =
        withLimits { limited ->
            expectUsed(limited.filter { it.rate > 1 })
            expectEnds(limited.filter { it.rate > 1 }.map { it.server })
        }

    /** The endpoints were sent most of what they take. */
    private suspend fun expectUsed(limited: List<Limited>) = limited.forEach { limit ->
        val from = limit.since + CONTACT
        val seconds = Duration.between(from, Instant.now()).toMillis() / MILLISECONDS_PER_SECOND
        val used = received(limit.server).count { it.receivedAt >= from } / seconds / limit.rate
        println("${limit.server.server.name} got $used of what it takes")
        expectThat(used).isGreaterThan(MIN_USED)
    }

    private fun expectRefusals() {
        val refusals = responses.filter { it.text().contains("endpoints_limited") }
        expectThat(refusals).isNotEmpty().all {
            get { status }.isEqualTo(503)
            get { headers.get(PlatformHeaders.RETRY_AFTER)?.toDouble() }.isNotNull().isLessThan(MAX_RETRY_AFTER_SECONDS)
        }
    }

    /** The routers send as many requests as before once [servers] name no rate any more. */
    private suspend fun expectEnds(servers: List<PlatformFleet.RunningServer>) {
        servers.forEach { setLimit(it, rate = null) }
        delay(SETTLE.toMillis())
        val from = Instant.now()
        delay(SETTLE.toMillis())
        servers.forEach { server ->
            val perSecond = received(server).count { it.receivedAt >= from } * 1.0 / SETTLE.toSeconds()
            println("${server.server.name} gets $perSecond per second once it names no rate")
            expectThat(perSecond).isGreaterThan(MIN_UNLIMITED_PER_SECOND)
        }
    }

    private companion object {
        const val RESTARTED_NUMBER = 4
        const val RESTARTED = "r4"
        const val TOLERANCE = 1.5
        const val SLACK = 5
        const val MIN_USED = 0.6
        const val MIN_UNLIMITED_PER_SECOND = 30.0
        const val MAX_RETRY_AFTER_SECONDS = 61.0
        const val MILLISECONDS_PER_SECOND = 1_000.0
        val WARM_UP: Duration = Duration.ofSeconds(1)
        val CONTACT: Duration = Duration.ofSeconds(3)
        val WINDOW: Duration = Duration.ofSeconds(4)
        val SETTLE: Duration = Duration.ofSeconds(4)

        /** The time after a response that named the rate from which the requests of its receiver are counted. */
        val KNOWLEDGE: Duration = Duration.ofMillis(500)
    }
}
