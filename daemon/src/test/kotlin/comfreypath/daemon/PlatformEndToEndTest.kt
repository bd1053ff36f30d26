package comfreypath.daemon

import comfreypath.coordination.model.DataCentreName
import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import comfreypath.standins.PlatformServerFaults
import comfreypath.standins.PlatformServerStandIn
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.single
import java.time.Duration

class PlatformEndToEndTest {
    private val tokens = "1612,70"

    @Test
    fun `each kind of request gets the server's unchanged response`() = PlatformFixture(routers = 2).run {
        repeat(2) { router ->
            val stream = call(PlatformRequest("draft", "d$router", tokens), router)
            expectThat(stream).isNotNull().get { text() }.isEqualTo(expectedStream("d$router", tokens))
            expectThat(stream?.headers?.get(PlatformHeaders.SIGNATURE))
                .isEqualTo(PlatformServerStandIn.signature("d$router"))
            val booking = call(PlatformRequest("book", "b$router", body = ByteArray(3_000) { it.toByte() }), router)
            expectThat(booking).isNotNull().get { body.toList() }
                .isEqualTo(PlatformServerStandIn.responseBody("b$router").toList())
            expectThat(call(PlatformRequest("open", "o$router", key = null), router)?.status).isEqualTo(200)
        }
        expectThat(requestsSeen("b0")).single().get { request.body.toList() }.isEqualTo(List(3_000) { it.toByte() })
        expectThat(requestsSeen("b0")).single().get { request.uri }.isEqualTo("/book/x?y=1")
    }

    @Test
    fun `a server receives the team and never the key, whatever headers the client sends`() = PlatformFixture().run {
        val forged = mapOf(PlatformHeaders.TEAM to "team-9", "X-Hold" to "1", PlatformHeaders.PRIORITY to "0")
        call(PlatformRequest("history", "h1", headers = forged))
        call(PlatformRequest("open", "o1", key = "key-2", headers = forged))
        val headers = requestsSeen("h1").single().request.headers
        expectThat(headers.get(PlatformHeaders.TEAM)).isEqualTo("team-1")
        expectThat(headers.contains(PlatformHeaders.AUTHORIZATION)).isFalse()
        expectThat(headers.contains("X-Hold")).isFalse()
        expectThat(headers.get(PlatformHeaders.TIME_LEFT)?.toInt()).isNotNull().get { this in 1..4_000 }.isEqualTo(true)
        expectThat(requestsSeen("o1").single().request.headers.get(PlatformHeaders.TEAM)).isNull()
    }

    @Test
    fun `an engine receives the team's priority, or the route's if the team has none`() = PlatformFixture().run {
        call(PlatformRequest("draft", "s1", tokens))
        call(PlatformRequest("draft", "s2", tokens, key = "key-2", headers = mapOf(PlatformHeaders.PRIORITY to "7")))
        fleet.storeAdmin.updateConfiguration { configuration ->
            configuration.copy(routes = configuration.routes.map { it.copy(priority = 3) }.toImmutableList())
        }
        eventually("the route's new priority") {
            val id = "s-${requestNumber++}"
            call(PlatformRequest("draft", id, tokens, key = "key-2"))
            requestsSeen(id).single().request.headers.get(PlatformHeaders.PRIORITY) == "3"
        }
        expectThat(requestsSeen("s1").single().request.headers.get(PlatformHeaders.PRIORITY)).isEqualTo("1")
        expectThat(requestsSeen("s2").single().request.headers.get(PlatformHeaders.PRIORITY)).isEqualTo("1")
    }

    @Test
    fun `responses, streams and refusals are counted and timed`() = PlatformFixture().run {
        call(PlatformRequest("history", "h1"))
        call(PlatformRequest("draft", "s1", tokens))
        call(PlatformRequest("nowhere", "r1"))
        setEngineFaults(PlatformServerFaults(abortAfterEvents = 6))
        call(PlatformRequest("draft", "s2", tokens))
        val metrics = fleet.routers.single().router.routerMetrics
        // A response is counted after it is written, so the caller may see its end before the router has counted it.
        eventually("the latency of the aborted stream") {
            "comfreypath_latency_seconds_count{kind=\"streaming\"} 2" in metrics.prometheusText().decodeToString()
        }
        expectThat(metrics.prometheusText().decodeToString())
            .contains("comfreypath_answered_total{kind=\"idempotent\",status=\"200\"} 1.0")
            .contains("comfreypath_answered_total{kind=\"streaming\",status=\"200\"} 1.0")
            .contains("comfreypath_answered_total{kind=\"streaming\",status=\"broken_off\"} 1.0")
            .contains("comfreypath_refused_total{code=\"unknown_route\"} 1.0")
            .contains("comfreypath_latency_seconds_count{kind=\"streaming\"} 2")
    }

    @Test
    fun `unknown routes and unknown keys have different statuses`() = PlatformFixture().run {
        expectThat(call(PlatformRequest("nowhere", "r1"))?.status).isEqualTo(404)
        expectThat(call(PlatformRequest("history", "r2", key = "nobody's"))?.status).isEqualTo(401)
        expectThat(call(PlatformRequest("history", "r3", key = null))?.status).isEqualTo(401)
        expectThat(listOf("r1", "r2", "r3").flatMap { requestsSeen(it) }).isEmpty()
    }

    @Test
    fun `only idempotent requests are retried at another server`() = PlatformFixture().run {
        setPlainServerFaults(PlatformServerFaults(abortResponses = true))
        expectThat(call(PlatformRequest("history", "h1"))?.status).isEqualTo(502)
        expectThat(requestsSeen("h1").size).isEqualTo(2)
        expectThat(call(PlatformRequest("book", "b1", body = ByteArray(1)))?.status).isEqualTo(502)
        expectThat(requestsSeen("b1").size).isEqualTo(1)
        setPlainServerFaults(PlatformServerFaults())
        setFaults(fleet.plainServers.take(1), PlatformServerFaults(failing = true))
        val statuses = (1..6).map { call(PlatformRequest("history", "f$it"))?.status }
        expectThat(statuses).all { isEqualTo(200) }
    }

    @Test
    fun `a success response without the server's signature is rejected`() = PlatformFixture().run {
        setPlainServerFaults(PlatformServerFaults(unsigned = true))
        setEngineFaults(PlatformServerFaults(unsigned = true))
        expectThat(call(PlatformRequest("book", "b1", body = ByteArray(1)))?.status).isEqualTo(502)
        expectThat(call(PlatformRequest("draft", "s1", tokens))?.status).isEqualTo(502)
        setFaults(fleet.plainServers.take(1), PlatformServerFaults())
        expectThat((1..4).map { call(PlatformRequest("history", "h$it"))?.status }).all { isEqualTo(200) }
    }

    @Test
    fun `a request that every server refuses is not run, and the refusal has a Retry-After`() = PlatformFixture().run {
        setPlainServerFaults(PlatformServerFaults(refuse = true))
        val refused = call(PlatformRequest("book", "b1", body = ByteArray(1)))
        expectThat(refused?.status).isEqualTo(503)
        expectThat(refused?.headers?.get(PlatformHeaders.RETRY_AFTER)).isNotNull()
        expectThat(requestsSeen("b1")).all { get { ran }.isFalse() }
    }

    @Test
    fun `a request that a full service can't answer in time is refused at once and not sent`() =
        PlatformFixture().run {
            setPlainServerFaults(PlatformServerFaults(workMilliseconds = 300))
            coroutineScope {
                (1..12).map { async { call(PlatformRequest("book", "l$it", body = ByteArray(1))) } }.awaitAll()
                val load = (1..32).map { async { call(PlatformRequest("history", "f$it")) } }
                delay(100)
                val shortDeadline = mapOf(PlatformHeaders.TIME_LEFT to "400")
                val startedAt = System.nanoTime()
                val refused = call(PlatformRequest("book", "b1", body = ByteArray(1), headers = shortDeadline))
                expectThat(Duration.ofNanos(System.nanoTime() - startedAt)).isLessThan(Duration.ofMillis(150))
                expectThat(refused?.status).isEqualTo(503)
                expectThat(refused?.headers?.get(PlatformHeaders.RETRY_AFTER)?.toDouble()).isNotNull()
                    .isGreaterThan(0.0)
                expectThat(requestsSeen("b1")).isEmpty()
                expectThat(call(PlatformRequest("book", "b2", body = ByteArray(1)))?.status).isEqualTo(200)
                expectThat(load.awaitAll().map { it?.status }).all { isEqualTo(200) }
            }
        }

    @Test
    fun `a resumable stream continues at another engine from its last complete event`() = PlatformFixture().run {
        setFaults(fleet.engines, PlatformServerFaults(abortAfterEvents = 6, truncateEvent = true))
        expectThat(call(PlatformRequest("follow", "s1", tokens))).isNotNull()
            .get { text() }.isEqualTo(expectedStream("s1", tokens))
        expectThat(
            requestsSeen("s1").map { it.request.headers.get(PlatformHeaders.LAST_EVENT_ID) }
        ).containsExactlyInAnyOrder(null, "6")
    }

    @Test
    fun `a stream that is not resumable is visibly aborted`() = PlatformFixture().run {
        setEngineFaults(PlatformServerFaults(abortAfterEvents = 6))
        expectThat(call(PlatformRequest("draft", "s1", tokens))).isNull()
        expectThat(requestsSeen("s1").size).isEqualTo(1)
    }

    @Test
    fun `a draining or removed server gets no new requests`() = PlatformFixture().run {
        val (first, second) = fleet.plainServers
        fleet.storeAdmin.updateRegistration(first.endpoint.copy(draining = true))
        eventually("all requests at the second server") { allRequestsReach(second, "d") }
        fleet.storeAdmin.updateRegistration(first.endpoint)
        fleet.storeAdmin.deregister(second.endpoint)
        eventually("all requests at the first server") { allRequestsReach(first, "g") }
    }

    private var requestNumber = 0

    /** Sends requests and returns true if none of them reaches a server other than [server]. */
    private suspend fun PlatformFixture.allRequestsReach(server: PlatformFleet.RunningServer, prefix: String): Boolean {
        requestNumber += 1
        val ids = (1..8).map { "$prefix-$requestNumber-$it" }
        ids.forEach { call(PlatformRequest("history", it)) }
        val others = (fleet.plainServers - server).flatMap { it.server.receivedRequests }.map { it.id }
        return ids.none { it in others }
    }

    @Test
    fun `an evacuated data centre gets no requests until the evacuation is withdrawn`() = PlatformFixture().run {
        val (first, second) = fleet.engines
        fleet.storeAdmin.setEvacuated(first.endpoint.dataCentre, evacuated = true)
        eventually("no requests in the evacuated data centre") {
            val id = "e-${requestNumber++}"
            call(PlatformRequest("draft", id, tokens))
            requestsSeen(id).single() in second.server.receivedRequests
        }
        fleet.storeAdmin.setEvacuated(DataCentreName("data-centre-2"), evacuated = true)
        eventually("refusals") { call(PlatformRequest("draft", "n-${requestNumber++}", tokens))?.status == 503 }
        fleet.storeAdmin.setEvacuated(first.endpoint.dataCentre, evacuated = false)
        eventually("responses again") {
            call(PlatformRequest("draft", "a-${requestNumber++}", tokens))?.status == 200
        }
    }

    @Test
    fun `keys and routes follow configuration changes`() = PlatformFixture().run {
        expectThat(call(PlatformRequest("history", "k1", key = "key-2"))?.status).isEqualTo(200)
        fleet.storeAdmin.updateConfiguration { configuration ->
            configuration.copy(
                teams = configuration.teams.orEmpty().take(1).toImmutableList(),
                routes = configuration.routes.map { if (it.name == "open") it.copy(pathPrefix = "/free/") else it }
                    .toImmutableList(),
            )
        }
        eventually("refusal of the key") {
            call(PlatformRequest("history", "k-${requestNumber++}", key = "key-2"))?.status == 401
        }
        expectThat(call(PlatformRequest("free", "f1", key = null))?.status).isEqualTo(200)
        expectThat(call(PlatformRequest("open", "o1"))?.status).isEqualTo(404)
    }

    @Test
    fun `a graceful stop finishes streams in progress`() = PlatformFixture(routers = 2).run {
        coroutineScope {
            val streams = (1..10).map { async { call(PlatformRequest("draft", "g$it", "1612,2100")) } }
            delay(100)
            fleet.stopRouter(fleet.routers.first())
            streams.forEachIndexed { index, stream ->
                expectThat(
                    stream.await()
                ).isNotNull().get { text() }.isEqualTo(expectedStream("g${index + 1}", "1612,2100"))
            }
        }
    }
}
