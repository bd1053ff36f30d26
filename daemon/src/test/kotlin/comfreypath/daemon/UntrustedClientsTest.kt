package comfreypath.daemon

import com.github.michaelbull.result.fold
import comfreypath.coordination.routing.CallerLimits
import comfreypath.daemon.demo.PlatformCaller
import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import comfreypath.standins.PlatformServerStandIn
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.net.Socket
import java.time.Duration
import java.util.concurrent.CountDownLatch

/**
 * Guards against clients that end a router with requests of legal size. Each test runs a router with the memory of the
 * deployment, or less, beside a crowd of clients that stay, and bounds its memory and descriptors by the deployment's.
 */
class UntrustedClientsTest {
    private val released = CountDownLatch(1)

    private fun respond(request: RawRequest, socket: Socket) {
        socket.receive(request.bodyLength)
        when {
            request.id.startsWith("held") -> released.await()
            request.id.startsWith("lines") -> {
                socket.send("HTTP/1.1 200 OK\r\n" + linesOf(ENDPOINT_HEAD_LINES) { "a:" })
                released.await()
            }
        }
        val head = "HTTP/1.1 200 OK\r\nX-Response-Seal: ${PlatformServerStandIn.signature(request.id)}\r\n"
        socket.send(head + "X-Attempt-Id: ${request.id}\r\nContent-Length: 2\r\n\r\nok")
    }

    private fun linesOf(count: Int, line: (Int) -> String) = (0 until count).joinToString("") { "${line(it)}\r\n" }

    /** The request line and the headers that a request to an endpoint needs, without the end of the head. */
    private fun requestLines(id: String, path: String = "/history/x") =
        "GET $path HTTP/1.1\r\nHost: ${PlatformFleet.HOST}\r\n${PlatformHeaders.REQUEST_ID}: $id\r\n" +
            "${PlatformHeaders.AUTHORIZATION}: Token ${PlatformFleet.KEY}\r\n"

    private class Target(private val fixture: PlatformFixture, val process: RouterProcess) {
        /** Sends a request on a new connection. */
        suspend fun status(id: String): Int? = PlatformCaller(fixture.fleet.callerLoop)
            .call(process.callerAddress, PlatformRequest("history", id)).fold({ it.status }, { null })

        fun expectSound() {
            expectThat(process.alive).describedAs("the process is alive: ${process.log.takeLast(LOG_TAIL)}").isTrue()
            expectThat("OutOfMemoryError" in process.log).describedAs("the process ran out of memory").isFalse()
            expectThat(process.peakMemoryBytes).describedAs("peak memory").isLessThan(MACHINE_MEMORY_BYTES)
            expectThat(process.openDescriptors).describedAs("open descriptors").isLessThan(MACHINE_SOCKETS)
        }

        private suspend fun expectOrdinaryAnswered() {
            val statuses = mutableListOf<Int?>()
            while (process.alive && statuses.size < ORDINARY_ATTEMPTS && statuses.lastOrNull() != 200) {
                statuses += status("ordinary-${statuses.size}")
                delay(RETRY_MILLISECONDS)
            }
            expectThat(statuses.lastOrNull()).describedAs("an ordinary caller beside the crowd: $statuses")
                .isEqualTo(200)
        }

        /** Expects that [act] leaves the router alive and that it answers an ordinary caller while the crowd stays. */
        suspend fun withCrowd(size: Int, act: suspend ClientCrowd.() -> Unit) =
            ClientCrowd(process.callerAddress, size).use { crowd ->
                crowd.act()
                expectSound()
                expectOrdinaryAnswered()
                expectSound()
                println("crowd of $size: peak ${process.peakMemoryBytes}, descriptors ${process.openDescriptors}")
            }
    }

    private fun withRouter(memory: List<String> = emptyList(), test: suspend Target.() -> Unit) =
        PlatformFixture().run {
            RawEndpoint(::respond).use { raw ->
                usePlainServer(raw)
                fleet.storeAdmin.updateConfiguration { it.copy(limits = patientLimits) }
                RouterProcess(fleet.storeAddress, memory = memory).use { testWith(it, test) }
            }
        }

    private suspend fun PlatformFixture.testWith(process: RouterProcess, test: suspend Target.() -> Unit) {
        val target = Target(this, process)
        eventually("the process serves") { target.status("probe") == 200 }
        try {
            target.test()
        } finally {
            released.countDown()
        }
    }

    @Test
    fun `a single request of many lines is served`() = withRouter {
        ClientCrowd(process.callerAddress, 1).use { client ->
            client.send { requestLines("single") + linesOf(HEAD_LINES) { "a:" } + "\r\n" }
            expectThat(client.statusLines()).isEqualTo(listOf("HTTP/1.1 200 OK"))
        }
        expectSound()
    }

    @Test
    fun `heads of many lines whose bodies are missing`() = withRouter {
        withCrowd(MANY_LINES_CLIENTS) {
            send { "POST /book/x HTTP/1.1\r\nContent-Length: 5\r\n" + linesOf(HEAD_LINES) { "a:" } + "\r\n" }
        }
    }

    @Test
    fun `heads of many lines that arrive slowly and without end`() = withRouter {
        withCrowd(MANY_LINES_CLIENTS) {
            send { "GET /history/x HTTP/1.1\r\n" + linesOf(HEAD_LINES) { "a:" } }
            sendByteByByte("a:\r\nb")
        }
    }

    @Test
    fun `heads of cookies, repeated names, empty values and folded lines`() = withRouter(LOW_HEAP) {
        val lines = listOf("Cookie:a", "cookie:", "b: ", "b:\t", " ", "\tc", "Expect:", "Upgrade:h2c")
        withCrowd(ODD_LINES_CLIENTS) {
            val head = linesOf(ODD_LINES) { lines[it % lines.size] }
            send { "POST /book/x HTTP/1.1\r\nContent-Length: 5\r\n$head\r\n" }
        }
    }

    @Test
    fun `trailers of many lines without end`() = withRouter {
        withCrowd(MANY_LINES_CLIENTS) {
            val head = "POST /book/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            send { head + "1\r\nx\r\n0\r\n" + linesOf(HEAD_LINES) { "a:" } }
        }
    }

    @Test
    fun `heads of many lines pipelined behind a request in progress`() = withRouter {
        withCrowd(PIPELINING_CLIENTS) {
            val pipelined = (requestLines("next") + linesOf(HEAD_LINES) { "a:" } + "\r\n").repeat(PIPELINED_REQUESTS)
            send { requestLines("held-$it") + "\r\n" + pipelined }
        }
    }

    @Test
    fun `requests of many lines that wait for their endpoint`() = withRouter {
        withCrowd(MANY_LINES_CLIENTS) {
            send { requestLines("held-$it") + linesOf(HEAD_LINES) { "a:" } + "\r\n" }
        }
    }

    @Test
    fun `request lines of full length on connections that stay open`() = withRouter(LOW_HEAP) {
        withCrowd(LONG_LINE_CLIENTS) {
            send { "GET /${"x".repeat(LONG_LINE_BYTES)} HTTP/1.1\r\nHost: a\r\n\r\n" }
            statusLines()
        }
    }

    @Test
    fun `request lines and chunk extensions that don't end`() = withRouter(LOW_HEAP) {
        withCrowd(ENDLESS_LINE_CLIENTS) {
            send {
                val extended = "POST /book/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;"
                (if (it % 2 == 0) "GET /" else extended) + "x".repeat(LONG_LINE_BYTES)
            }
        }
    }

    @Test
    fun `connections opened and left, up to the maximum and beyond`() = withRouter {
        withCrowd(LEFT_CONNECTIONS) { }
    }

    @Test
    fun `heads of many lines from an endpoint`() = withRouter {
        withCrowd(ENDPOINT_HEADS) { send { requestLines("lines-$it") + "\r\n" } }
    }

    private companion object {
        /** `memory_mb` of the deployment. */
        const val MACHINE_MEMORY_BYTES = 430_000_000L

        /** `max_fds` of the deployment without those that it reserves for files. */
        const val MACHINE_SOCKETS = 3_900

        val LOW_HEAP = listOf("-Xmx40m")
        val patientLimits = CallerLimits(headerTimeout = Duration.ofMinutes(2), idleTimeout = Duration.ofMinutes(2))
        const val LOG_TAIL = 1_000
        const val ORDINARY_ATTEMPTS = 12
        const val RETRY_MILLISECONDS = 500L

        /** Fills 16,384 bytes almost, line ends included. */
        const val HEAD_LINES = 4_000
        const val ODD_LINES = 2_400
        const val ENDPOINT_HEAD_LINES = 16_000
        const val MANY_LINES_CLIENTS = 300
        const val ODD_LINES_CLIENTS = 600
        const val PIPELINING_CLIENTS = 30
        const val PIPELINED_REQUESTS = 15
        const val LONG_LINE_CLIENTS = 2_000
        const val ENDLESS_LINE_CLIENTS = 2_800
        const val LONG_LINE_BYTES = 16_000
        const val LEFT_CONNECTIONS = 3_200
        const val ENDPOINT_HEADS = 100
    }
}
