package comfreypath.daemon

import comfreypath.standins.PlatformServerStandIn
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.Socket
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

    private fun withRouter(memory: List<String> = emptyList(), test: suspend CrowdedRouter.() -> Unit) =
        withCrowdedRouter(::respond, memory) {
            try {
                test()
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
