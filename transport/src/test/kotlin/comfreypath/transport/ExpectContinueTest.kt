package comfreypath.transport

import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.CompletableDeferred
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Duration

private const val RECEIVE_TIMEOUT_MILLISECONDS = 200L

class ExpectContinueTest {
    private val gate = CompletableDeferred<Unit>()

    private val head = "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"

    /** Streams the response to the first request, after its first chunk only once the gate is open. */
    private fun serve(begin: Boolean, test: ServerFixture.() -> Unit) = ServerFixture(
        HttpServerOptions(receiveTimeout = Duration.ofMillis(RECEIVE_TIMEOUT_MILLISECONDS)),
    ) { request, writer ->
        if (request.path == "/1") {
            if (!begin) gate.await()
            writer.start(HttpResponseStatus.OK, emptyMap())
            writer.writeChunk("first ".encodeToByteArray())
            gate.await()
            writer.writeChunk("end".encodeToByteArray())
            writer.end()
        } else {
            writer.respond(HttpResponseStatus.OK, emptyMap(), request.body)
        }
    }.run(test)

    private fun expectInOrder(begin: Boolean) = serve(begin) {
        RawClient(address).use { client ->
            client.get("/1")
            client.send(head)
            Thread.sleep(2 * RECEIVE_TIMEOUT_MILLISECONDS)
            gate.complete(Unit)
            expectThat(client.read()).get { this?.status to this?.body }.isEqualTo(200 to "first end")
            expectThat(client.read(hasBody = false)?.status).isEqualTo(100)
            client.send("body")
            expectThat(client.read()).get { this?.status to this?.body }.isEqualTo(200 to "body")
        }
        awaitAccounts()
    }

    @Test
    fun `a client that asks to continue behind a response in progress is told to when that has ended`() =
        expectInOrder(begin = true)

    @Test
    fun `a client that asks to continue before another response has begun is told to after it`() =
        expectInOrder(begin = false)

    @Test
    fun `a client that sends its body without waiting is not told to continue`() = serve(begin = true) {
        RawClient(address).use { client ->
            client.get("/1")
            client.send(head + "body")
            eventually("both requests are read") { count(ServerEvent.RequestRead) == 2 }
            gate.complete(Unit)
            expectThat(client.read()?.body).isEqualTo("first end")
            expectThat(client.read()).get { this?.status to this?.body }.isEqualTo(200 to "body")
        }
        awaitAccounts()
    }

    @Test
    fun `a client that asks to continue on an idle connection is told to at once`() = serve(begin = true) {
        RawClient(address).use { client ->
            client.send(head)
            expectThat(client.read(hasBody = false)?.status).isEqualTo(100)
            client.send("body")
            expectThat(client.read()).get { this?.status to this?.body }.isEqualTo(200 to "body")
        }
        awaitAccounts()
    }
}
