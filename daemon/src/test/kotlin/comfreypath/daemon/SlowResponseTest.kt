package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import comfreypath.standins.PlatformServerStandIn
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.net.Socket
import java.time.Duration

/** Guards against slow streams that are cut, and against stalled ones that bytes without progress keep open. */
class SlowResponseTest {
    private fun event(request: RawRequest, number: Int) =
        PlatformServerStandIn.event(request.id, number).decodeToString()

    /** Sends each event of a stream in two parts, with [pause] before each part. */
    private fun streamSlowly(pause: Duration) = RawEndpoint { request, socket ->
        socket.receive(request.bodyLength)
        val first = (request.header(PlatformHeaders.LAST_EVENT_ID)?.toInt() ?: 0) + 1
        val last = PlatformServerStandIn.eventCount(request.header(PlatformHeaders.TOKEN_COUNTS).orEmpty())
        socket.send(rawHead(request, "200 OK", "${EVENTS}Transfer-Encoding: chunked"))
        (first..last).map { event(request, it) }.forEach { event ->
            listOf(event.take(event.length / 2), event.drop(event.length / 2)).forEach { part ->
                if (!request.id.startsWith("probe")) Thread.sleep(pause.toMillis())
                socket.send(rawChunk(part))
            }
        }
        socket.send("0\r\n\r\n")
    }

    /** Sends [start] and then [rest] now and then, without end. */
    private fun trickle(start: (RawRequest) -> String, rest: String) = RawEndpoint { request, socket ->
        socket.receive(request.bodyLength)
        if (request.id.startsWith("probe")) {
            socket.send(rawHead(request, "200 OK", "${EVENTS}Content-Length: 0"))
        } else {
            trickle(socket, start(request), rest)
        }
    }

    private fun trickle(socket: Socket, start: String, rest: String) {
        socket.send(start)
        while (true) {
            Thread.sleep(TRICKLE_MILLISECONDS)
            socket.send(rest)
        }
    }

    private suspend fun <T> withinDeadline(call: suspend () -> T): T {
        val startedAt = System.nanoTime()
        val result = call()
        expectThat(Duration.ofNanos(System.nanoTime() - startedAt)).isLessThan(Duration.ofMillis(LIMIT_MILLISECONDS))
        return result
    }

    private fun expectWhole(pause: Duration, tokens: String) = PlatformFixture().run {
        streamSlowly(pause).use { raw ->
            useEngine(raw)
            coroutineScope {
                listOf("draft", "follow").map { route ->
                    async { route to call(PlatformRequest(route, "slow-$route", tokens)) }
                }.awaitAll().forEach { (route, response) ->
                    expectThat(response).isNotNull().get { text() }.isEqualTo(expectedStream("slow-$route", tokens))
                }
            }
            expectThat(raw.requests.count { it.id.startsWith("slow") }).isEqualTo(2)
        }
    }

    @Test
    fun `a stream whose events arrive slowly and in parts is delivered whole`() =
        expectWhole(Duration.ofMillis(500), "1612,21")

    @Test
    fun `a stream that is silent for more than a second before each part is delivered whole`() =
        expectWhole(Duration.ofMillis(1_200), "1612,7")

    private fun expectEnd(start: (RawRequest) -> String, rest: String, begun: Boolean) = PlatformFixture().run {
        trickle(start, rest).use { raw ->
            useEngine(raw)
            coroutineScope {
                listOf("draft", "follow").map { route ->
                    async { withinDeadline { call(PlatformRequest(route, "trickle-$route", "1612,70")) } }
                }.awaitAll().forEach { response ->
                    if (begun) expectThat(response).isNull() else expectThat(response?.status).isEqualTo(504)
                }
            }
        }
    }

    private fun chunkedHead(request: RawRequest) = rawHead(request, "200 OK", "${EVENTS}Transfer-Encoding: chunked")

    @Test
    fun `a begun stream that only sends comments ends with its deadline`() =
        expectEnd({ chunkedHead(it) + rawChunk(event(it, 1)) }, rawChunk(": wait\n\n"), begun = true)

    @Test
    fun `a begun stream that sends an event byte by byte ends with its deadline`() =
        expectEnd({ chunkedHead(it) + rawChunk(event(it, 1) + "id: 2\ndata: ") }, rawChunk("x"), begun = true)

    @Test
    fun `a stream whose first event arrives byte by byte is refused at its deadline`() =
        expectEnd({ chunkedHead(it) + rawChunk("id: 1\ndata: ") }, rawChunk("x"), begun = false)

    @Test
    fun `a stream whose head arrives byte by byte is refused at its deadline`() =
        expectEnd({ "HTTP/1.1 200 OK\r\nX-Late: " }, "x", begun = false)

    @Test
    fun `a stream with interim responses now and then is refused at its deadline`() =
        expectEnd({ "HTTP/1.1 100 Continue\r\n\r\n" }, "HTTP/1.1 100 Continue\r\n\r\n", begun = false)

    @Test
    fun `a response whose body arrives byte by byte is refused at its deadline`() = PlatformFixture().run {
        trickle({ rawHead(it, "200 OK", "Content-Length: 1000") }, "x").use { raw ->
            usePlainServer(raw)
            val response = withinDeadline { call(PlatformRequest("book", "trickle", body = ByteArray(1))) }
            expectThat(response?.status).isEqualTo(504)
        }
    }

    private companion object {
        const val EVENTS = "Content-Type: text/event-stream\r\n"
        const val TRICKLE_MILLISECONDS = 300L

        /** The timeout of the routes, and half a second. */
        const val LIMIT_MILLISECONDS = 4_500L
    }
}
