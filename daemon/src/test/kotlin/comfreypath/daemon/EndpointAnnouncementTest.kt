package comfreypath.daemon

import comfreypath.coordination.model.EndpointName
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import comfreypath.standins.PlatformServerStandIn
import comfreypath.standins.StoreFaults
import comfreypath.transport.ClientResponse
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import java.time.Duration
import java.time.Instant
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

class EndpointAnnouncementTest {
    /** A plain server whose responses carry [headers], and 503 while [refuses]. */
    private class AnnouncingEndpoint(val refuses: (RawRequest) -> Boolean, val headers: (RawRequest) -> String) {
        val arrivals = ConcurrentLinkedQueue<Instant>()
        val raw = RawEndpoint { request, socket ->
            arrivals += Instant.now()
            socket.receive(request.bodyLength)
            val id = "X-Attempt-Id: ${request.id}"
            if (refuses(request)) {
                socket.send(
                    "HTTP/1.1 503 Service Unavailable\r\n$id\r\nX-Not-Executed: 1\r\n${headers(request)}" +
                        "Content-Length: 0\r\n\r\n",
                )
            } else {
                val seal = PlatformServerStandIn.signature(request.id)
                socket.send(
                    "HTTP/1.1 200 OK\r\n$id\r\nX-Response-Seal: $seal\r\n${headers(request)}" +
                        "Content-Length: 2\r\n\r\nok",
                )
            }
        }

        fun countAfter(moment: Instant): Int = arrivals.count { it > moment }
    }

    private suspend fun PlatformFixture.add(endpoint: AnnouncingEndpoint, name: String) {
        val registered = fleet.plainServers.first().endpoint.copy(
            name = EndpointName(name),
            host = endpoint.raw.address.host,
            port = endpoint.raw.address.port,
        )
        fleet.storeAdmin.register(registered)
    }

    private var sent = 0

    /** Sends [count] requests at a time, again and again, until [done]. */
    private suspend fun PlatformFixture.sendUntil(what: String, count: Int, done: () -> Boolean) =
        eventually(what) {
            send(count)
            done()
        }

    private suspend fun PlatformFixture.send(count: Int): List<ClientResponse?> = coroutineScope {
        List(count) { async { call(PlatformRequest("book", "r${sent++}", body = ByteArray(1))) } }.awaitAll()
    }

    /** A streamed request with a prompt of its own, so that no engine is preferred for its cache. */
    private fun streamRequest(id: String, tokens: String): PlatformRequest {
        val part = Integer.toHexString(id.hashCode())
        return PlatformRequest("draft", id, tokens, headers = mapOf(PlatformHeaders.PROMPT_PARTS to "$part:8,1:8"))
    }

    private fun ClientResponse.retryAfter() =
        Duration.ofMillis((headers.get(PlatformHeaders.RETRY_AFTER).toDouble() * MILLISECONDS_PER_SECOND).toLong())

    @Test
    fun `an endpoint that asks for a pause gets nothing until its end, and its callers are served by others`() =
        PlatformFixture().run {
            val endpoint = AnnouncingEndpoint({ true }) { "Retry-After: 1.5\r\n" }
            endpoint.raw.use {
                add(endpoint, "pausing")
                sendUntil("a refusal with a pause", count = 1) { endpoint.arrivals.isNotEmpty() }
                val refusedAt = endpoint.arrivals.first()
                while (Duration.between(refusedAt, Instant.now()) < Duration.ofMillis(1_400)) {
                    expectThat(send(ROUND)).all { isNotNull().get { status }.isEqualTo(200) }
                    delay(STEP_MILLISECONDS)
                }
                expectThat(endpoint.countAfter(refusedAt)).isEqualTo(0)
                sendUntil("requests after the pause", count = ROUND) { endpoint.countAfter(refusedAt) > 0 }
            }
        }

    @Test
    fun `an endpoint that announces that it leaves gets nothing more while the store is down and says ready`() =
        PlatformFixture().run {
            val endpoint = AnnouncingEndpoint({ false }) { "Server-Leaving: 1\r\n" }
            endpoint.raw.use {
                add(endpoint, "leaving")
                sendUntil("a response that announces leaving", count = 1) { endpoint.arrivals.isNotEmpty() }
                val announcedAt = endpoint.arrivals.first()
                setStoreFaults(StoreFaults(outage = true))
                repeat(ROUNDS) {
                    expectThat(send(ROUND)).all { isNotNull().get { status }.isEqualTo(200) }
                    delay(STEP_MILLISECONDS)
                }
                expectThat(endpoint.countAfter(announcedAt)).isEqualTo(0)
            }
        }

    @Test
    fun `a stream whose head announces that the endpoint leaves is relayed to its end`() = PlatformFixture().run {
        val streams = AtomicInteger()
        val engine = RawEndpoint { request, socket ->
            streams.incrementAndGet()
            socket.receive(request.bodyLength)
            val seal = PlatformServerStandIn.signature(request.id)
            socket.send(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: ${request.id}\r\nX-Response-Seal: $seal\r\n" +
                    "Server-Leaving: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            )
            repeat(ROUND) { number ->
                Thread.sleep(STEP_MILLISECONDS)
                val event = PlatformServerStandIn.event(request.id, number + 1).decodeToString()
                socket.send("${Integer.toHexString(event.length)}\r\n$event\r\n")
            }
            socket.send("0\r\n\r\n")
        }
        engine.use {
            val registered = fleet.engines.first().endpoint
            fleet.storeAdmin.register(
                registered.copy(name = EndpointName("leaving"), host = engine.address.host, port = engine.address.port),
            )
            val tokens = "8,56"
            eventually("a stream of the endpoint that leaves") {
                val id = "stream-${sent++}"
                val response = call(streamRequest(id, tokens))
                expectThat(response).isNotNull().and {
                    get { status }.isEqualTo(200)
                    get { text() }.isEqualTo(expectedStream(id, tokens))
                }
                streams.get() > 0
            }
            repeat(ROUND) { call(streamRequest("stream-${sent++}", tokens)) }
            expectThat(streams.get()).isEqualTo(1)
        }
    }

    @Test
    fun `an answer to another request does not take an endpoint out`() = PlatformFixture().run {
        val arrivals = AtomicInteger()
        val copying = RawEndpoint { request, socket ->
            arrivals.incrementAndGet()
            socket.receive(request.bodyLength)
            val old = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: old\r\nX-Not-Executed: 1\r\n" +
                "Server-Leaving: 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"
            val seal = PlatformServerStandIn.signature(request.id)
            socket.send(
                "${old}HTTP/1.1 200 OK\r\nX-Attempt-Id: ${request.id}\r\nX-Response-Seal: $seal\r\n" +
                    "Content-Length: 2\r\n\r\nok",
            )
        }
        copying.use {
            val registered = fleet.plainServers.first().endpoint
            fleet.storeAdmin.register(
                registered.copy(
                    name = EndpointName("copying"),
                    host = copying.address.host,
                    port = copying.address.port,
                ),
            )
            sendUntil("several requests", count = 1) { arrivals.get() >= ROUNDS }
        }
    }

    @Test
    fun `while all endpoints pause callers are refused at once and told when the first pause ends`() =
        PlatformFixture().run {
            val endpoint = AnnouncingEndpoint({ true }) { "Retry-After: 3\r\n" }
            endpoint.raw.use {
                usePlainServer(endpoint.raw)
                val arrived = endpoint.arrivals.size
                val startedAt = Instant.now()
                val responses = send(ROUND)
                expectThat(Duration.between(startedAt, Instant.now())).isLessThan(Duration.ofSeconds(1))
                expectThat(responses).all {
                    isNotNull().and {
                        get { status }.isEqualTo(503)
                        get { text().contains("all_endpoints_out") }.isEqualTo(true)
                        get { retryAfter() }.isGreaterThan(Duration.ofSeconds(1)).isLessThan(Duration.ofSeconds(5))
                    }
                }
                expectThat(responses.mapNotNull { it?.retryAfter() }.toSet().size).isGreaterThan(1)
                expectThat(endpoint.arrivals.size).isIn(arrived..arrived)
            }
        }

    private companion object {
        const val ROUND = 8
        const val ROUNDS = 20
        const val STEP_MILLISECONDS = 20L
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
