package comfreypath.transport

import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.CompletableDeferred
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import strikt.assertions.single

class PipeliningTest {
    private val gate = CompletableDeferred<Unit>()

    private fun serve(failingPath: String? = null, test: ServerFixture.() -> Unit) = ServerFixture { request, writer ->
        gate.await()
        check(request.path != failingPath) { "broken" }
        writer.respond(HttpResponseStatus.OK, emptyMap(), request.path.encodeToByteArray())
    }.run(test)

    private fun ServerFixture.awaitRead(requests: Int) =
        eventually("$requests requests are read") { count(ServerEvent.RequestRead) == requests }

    private fun RawClient.readBodies(count: Int) = List(count) { read()?.body }

    @Test
    fun `malformed bytes after a request do not take its response`() = serve {
        RawClient(address).use { client ->
            client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nNONSENSE\r\n\r\n")
            awaitRead(1)
            gate.complete(Unit)
            expectThat(client.read()).get { this?.status to this?.body }.isEqualTo(200 to "/1")
            expectThat(client.read()?.status).isEqualTo(400)
            expectThat(client.awaitEnd()).isTrue()
        }
        awaitAccounts()
    }

    @Test
    fun `requests before one too many are answered`() = serve {
        RawClient(address).use { client ->
            client.send((1..18).joinToString("") { "GET /$it HTTP/1.1\r\nHost: a\r\n\r\n" })
            awaitRead(18)
            gate.complete(Unit)
            expectThat(client.readBodies(17)).isEqualTo((1..17).map { "/$it" })
            expectThat(client.read()?.status).isEqualTo(400)
            expectThat(client.awaitEnd()).isTrue()
        }
        awaitAccounts()
        expectThat(count(ServerEvent.ResponseWritten)).isEqualTo(18)
    }

    @Test
    fun `requests that were read before the server closes connections are answered`() = serve {
        RawClient(address).use { client ->
            repeat(3) { client.get("/$it") }
            awaitRead(3)
            onLoop { server.closeAfterResponse = true }
            gate.complete(Unit)
            val responses = List(3) { client.read() }
            expectThat(responses.map { it?.body }).containsExactly("/0", "/1", "/2")
            expectThat(responses.map { it?.headers?.get("connection") }).containsExactly(null, null, "close")
            expectThat(client.awaitEnd()).isTrue()
        }
        awaitAccounts()
        expectThat(count(ServerEvent.ResponseWritten)).isEqualTo(3)
    }

    @Test
    fun `a failed handler does not cost the requests behind its own their responses`() = serve(failingPath = "/0") {
        RawClient(address).use { client ->
            repeat(3) { client.get("/$it") }
            awaitRead(3)
            gate.complete(Unit)
            expectThat(List(3) { client.read()?.status }).containsExactly(500, 200, 200)
        }
        awaitAccounts()
    }

    @Test
    fun `a request after the client has announced its last one is reported and not handled`() = serve {
        RawClient(address).use { client ->
            client.send("GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
            awaitRead(2)
            gate.complete(Unit)
            expectThat(client.read()?.body).isEqualTo("/1")
            expectThat(client.read()).isNull()
        }
        awaitAccounts()
        expectThat(unanswered).single().get { reason }.isEqualTo(UnansweredReason.CLOSED_AFTER_RESPONSE)
    }
}
