package comfreypath.transport

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

private const val REQUEST_MEMORY_BYTES = 400_000L
private const val UNFINISHED_LINES = 200
private const val MANY_LINES = 4_000

class LargeHeadsTest {
    private val memory = BodyMemory(REQUEST_MEMORY_BYTES, REQUEST_MEMORY_BYTES)

    private fun withServer(options: HttpServerOptions = HttpServerOptions(), test: ServerFixture.() -> Unit) =
        ServerFixture(options, memory) { request, writer ->
            writer.respond(HttpResponseStatus.OK, DefaultHttpHeaders(), request.path.encodeToByteArray())
        }.run(test)

    private fun ServerFixture.unfinished(lines: Int) =
        RawClient(address).apply { send("GET /unfinished HTTP/1.1\r\n" + "a:\r\n".repeat(lines)) }

    private fun ServerFixture.awaitHeld(what: String, holds: (Long) -> Boolean) =
        eventually(what) { onLoop { holds(memory.usedBytes) } }

    private fun ServerFixture.expectOrdinaryAnswered() = RawClient(address).use {
        it.get("/ordinary")
        expectThat(it.read()?.body).isEqualTo("/ordinary")
    }

    @Test
    fun `a head for which there is no memory is refused, and gives its memory back`() = withServer {
        RawClient(address).use { client ->
            client.get("/many", "a:\r\n".repeat(MANY_LINES))
            expectThat(client.read()?.status).isEqualTo(503)
        }
        expectThat(events.toList()).contains(ServerEvent.RequestRejected(HttpRejection.OUT_OF_MEMORY))
        awaitHeld("all memory is given back") { it == 0L }
        expectOrdinaryAnswered()
    }

    @Test
    fun `trailers for which there is no memory are refused`() = withServer {
        RawClient(address).use { client ->
            client.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + "a:\r\n".repeat(MANY_LINES))
            expectThat(client.read()?.status).isEqualTo(503)
        }
        awaitHeld("all memory is given back") { it == 0L }
    }

    @Test
    fun `the largest unfinished head is refused for a smaller one`() = withServer {
        val large = unfinished(UNFINISHED_LINES)
        awaitHeld("the large head is read") { it > 0 }
        val held = onLoop { memory.usedBytes }
        val crowd = List(20) { unfinished(UNFINISHED_LINES / 10) }
        awaitHeld("the crowd is read") { it > held }
        val later = List(20) { unfinished(UNFINISHED_LINES / 10) }
        expectThat(large.read()?.status).isEqualTo(503)
        expectOrdinaryAnswered()
        (crowd + later + large).forEach { it.close() }
        awaitHeld("all memory is given back") { it == 0L }
    }

    @Test
    fun `a body that has stopped is refused for a new one that is as large`() = withServer {
        val stopped = List(STOPPED_BODIES) { number ->
            RawClient(address).apply {
                send("POST /$number HTTP/1.1\r\nContent-Length: ${2 * BODY_BYTES}\r\n\r\n" + "x".repeat(BODY_BYTES))
            }
        }
        awaitHeld("the bodies are read") { it >= STOPPED_BODIES * BODY_BYTES / 2 }
        Thread.sleep(STALL_MILLISECONDS)
        RawClient(address).use { client ->
            client.send("POST /whole HTTP/1.1\r\nContent-Length: $BODY_BYTES\r\n\r\n" + "x".repeat(BODY_BYTES))
            expectThat(client.read()?.body).isEqualTo("/whole")
        }
        stopped.forEach { it.close() }
        awaitHeld("all memory is given back") { it == 0L }
    }

    @Test
    fun `input without an end of line is counted until it is complete`() = withServer {
        RawClient(address).use { client ->
            client.send("GET /" + "x".repeat(5_000))
            awaitHeld("the input is counted") { it >= 5_000 }
            client.send(" HTTP/1.1\r\nHost: a\r\n\r\n")
            expectThat(client.read()?.status).isEqualTo(200)
            awaitHeld("all memory is given back") { it == 0L }
            client.get("/next")
            expectThat(client.read()?.body).isEqualTo("/next")
        }
    }

    @Test
    fun `headers with illegal names are refused`() = withServer {
        RawClient(address).use { client ->
            client.get("/", "a\u0001b: c\r\n")
            expectThat(client.read()?.status).isEqualTo(400)
        }
    }

    @Test
    fun `at the maximum, a connection that was left is closed for a new one`() =
        withServer(HttpServerOptions(maxConnections = 3)) {
            val answered = RawClient(address)
            answered.get("/answered")
            expectThat(answered.read()?.status).isEqualTo(200)
            val left = List(2) { RawClient(address) }
            eventually("the connections are open") { server.connectionCount == 3 }
            Thread.sleep(MIN_IDLE_TEST_MILLISECONDS)
            expectOrdinaryAnswered()
            expectThat(
                left.count { client -> runCatching { client.awaitEnd() }.getOrDefault(false) }
            ).describedAs("closed").isEqualTo(1)
            answered.get("/again")
            expectThat(answered.read()?.body == "/again").isTrue()
        }

    private companion object {
        const val MIN_IDLE_TEST_MILLISECONDS = 600L
        const val STOPPED_BODIES = 45
        const val BODY_BYTES = 8_000
        const val STALL_MILLISECONDS = 600L
    }
}
