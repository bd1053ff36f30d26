package comfreypath.transport

import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.CompletableDeferred
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import strikt.assertions.single

class PipeliningTest {
    private val gate = CompletableDeferred<Unit>()

    private fun serve(test: ServerFixture.() -> Unit) = ServerFixture { request, writer ->
        gate.await()
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
