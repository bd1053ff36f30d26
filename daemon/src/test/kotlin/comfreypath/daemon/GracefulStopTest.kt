package comfreypath.daemon

import comfreypath.coordination.invariant.Invariant
import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.standins.PlatformServerFaults
import comfreypath.standins.PlatformServerStandIn
import comfreypath.transport.dispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import java.net.Socket
import java.time.Duration

class GracefulStopTest {
    @Test
    fun `a request that outlasts the grace period gets an answer instead of a closed connection`() {
        val fixture = PlatformFixture { it.copy(timeouts = it.timeouts.copy(grace = Duration.ofMillis(3_000))) }
        runBlocking {
            fixture.fleet.start()
            try {
                fixture.setPlainServerFaults(PlatformServerFaults(silent = true))
                val response = async { fixture.call(PlatformRequest("book", "b1", body = ByteArray(1))) }
                fixture.eventually("the request has reached a server") { fixture.requestsSeen("b1").isNotEmpty() }
                fixture.fleet.stopRouter(fixture.fleet.routers.single())
                expectThat(response.await()?.status).isEqualTo(502)
            } finally {
                fixture.fleet.stop()
            }
        }
        expectThat(fixture.fleet.violations.map { it.invariant }).all { isEqualTo(Invariant.GRACEFUL_STOP) }
    }

    /** A router that is stopped while it starts begins to stop late; its grace period has begun with the signal. */
    @Test
    fun `the time that is over when a stop begins counts towards the grace period`() {
        val fixture = PlatformFixture { it.copy(timeouts = it.timeouts.copy(grace = Duration.ofMillis(6_000))) }
        runBlocking {
            fixture.fleet.start()
            try {
                fixture.setPlainServerFaults(PlatformServerFaults(silent = true))
                val response = async { fixture.call(PlatformRequest("book", "b1", body = ByteArray(1))) }
                fixture.eventually("the request has reached a server") { fixture.requestsSeen("b1").isNotEmpty() }
                val router = fixture.fleet.routers.single()
                val stopAt = System.nanoTime()
                withContext(router.loop.dispatcher()) { router.router.stop(elapsed = Duration.ofMillis(3_000)) }
                expectThat(response.await()?.status).isEqualTo(502)
                expectThat(Duration.ofNanos(System.nanoTime() - stopAt)).isLessThan(Duration.ofMillis(3_000))
            } finally {
                fixture.fleet.stop()
            }
        }
        expectThat(fixture.fleet.violations.map { it.invariant }).all { isEqualTo(Invariant.GRACEFUL_STOP) }
    }

    /** The bookings are pipelined, so that the last is handled late although its connection was never idle. */
    @Test
    fun `a request that comes late in the grace period is refused instead of being cut off at its end`() {
        val fixture = PlatformFixture { it.copy(timeouts = it.timeouts.copy(grace = Duration.ofMillis(4_000))) }
        runBlocking {
            fixture.fleet.start()
            try {
                RawEndpoint(::respondSlowly).use { raw -> fixture.stopBesideBookings(raw) }
            } finally {
                fixture.fleet.stop()
            }
        }
        expectThat(fixture.fleet.violations.toList()).isEmpty()
    }

    /** HTTP has no way to answer it before the stream ends; what counts is that it does not run. */
    @Test
    fun `a request behind a stream that outlasts the grace period does not run, and no stream ends cleanly`() {
        val fixture = PlatformFixture { it.copy(timeouts = it.timeouts.copy(grace = Duration.ofMillis(3_000))) }
        runBlocking {
            fixture.fleet.start()
            try {
                fixture.setEngineFaults(PlatformServerFaults(pauseAfterEvents = 3, pauseMilliseconds = 9_000))
                fixture.stopBesideStream()
            } finally {
                fixture.fleet.stop()
            }
        }
        expectThat(fixture.fleet.violations.map { it.invariant }).all { isEqualTo(Invariant.GRACEFUL_STOP) }
    }

    private suspend fun PlatformFixture.stopBesideStream() {
        val running = fleet.routers.single()
        val address = running.options.callerAddress
        Socket(address.host, address.port).use { caller ->
            caller.send(stream("s1") + booking("b1"))
            eventually("the stream has reached a server") { requestsSeen("s1").isNotEmpty() }
            fleet.stopRouter(running)
            val responses = caller.receive(Int.MAX_VALUE).decodeToString()
            expectThat(Regex("HTTP/1.1 ([0-9]{3})").findAll(responses).toList().size).isEqualTo(1)
            expectThat(responses).contains("s1 piece 3")
            expectThat("\r\n0\r\n" in responses).isFalse()
        }
        expectThat(requestsSeen("b1")).isEmpty()
        expectThat(running.router.routerMetrics.prometheusText().decodeToString())
            .contains("comfreypath_requests_unanswered_total{reason=\"server_stopped\"} 2.0")
    }

    private fun stream(id: String): String {
        val headers = listOf(
            "Host: ${PlatformFleet.HOST}",
            "Authorization: Token ${PlatformFleet.KEY}",
            "X-Attempt-Id: $id",
            "X-Deadline-Ms: 12000",
            "X-Model: m",
            "X-Token-Usage: 1612,70",
        )
        return "GET /draft/x HTTP/1.1\r\n" + headers.joinToString("\r\n") + "\r\n\r\n"
    }

    private suspend fun PlatformFixture.stopBesideBookings(raw: RawEndpoint) {
        usePlainServer(raw)
        val router = fleet.routers.single()
        val address = router.options.callerAddress
        Socket(address.host, address.port).use { caller ->
            listOf("b1", "b2", "b3").forEach { caller.send(booking(it)) }
            eventually("the first has reached a server") { raw.requests.any { it.id == "b1" } }
            fleet.stopRouter(router)
            val responses = caller.receive(Int.MAX_VALUE).decodeToString()
            val statuses = Regex("HTTP/1.1 ([0-9]{3})").findAll(responses).map { it.groupValues[1] }.toList()
            expectThat(statuses.size).isEqualTo(3)
            expectThat(statuses.first()).isEqualTo("200")
            expectThat(statuses.last()).isEqualTo("503")
            expectThat(raw.requests.map { it.id }).doesNotContain("b3")
        }
    }

    private fun booking(id: String): String {
        val headers = listOf(
            "Host: ${PlatformFleet.HOST}",
            "Authorization: Token ${PlatformFleet.KEY}",
            "X-Attempt-Id: $id",
            "X-Deadline-Ms: 12000",
            "Content-Length: 1",
        )
        return "POST /book/x HTTP/1.1\r\n" + headers.joinToString("\r\n") + "\r\n\r\nx"
    }

    private fun respondSlowly(request: RawRequest, socket: Socket) {
        socket.receive(request.bodyLength)
        Thread.sleep(1_500)
        val seal = PlatformServerStandIn.signature(request.id)
        socket.send(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: ${request.id}\r\nX-Response-Seal: $seal\r\nContent-Length: 2\r\n\r\nok",
        )
    }
}
