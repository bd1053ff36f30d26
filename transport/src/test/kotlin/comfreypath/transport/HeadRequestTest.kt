package comfreypath.transport

import io.netty.handler.codec.http.HttpResponseStatus
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a body behind the head of a response to HEAD, which the client takes for the next response. */
class HeadRequestTest {
    private fun expectHeadOnly(
        status: Int,
        handler: suspend (IncomingRequest, ResponseWriter) -> Unit,
    ) = ServerFixture { request, writer ->
        if (request.path == "/next") {
            writer.respond(HttpResponseStatus.OK, emptyMap(), "next".encodeToByteArray())
        } else {
            handler(request, writer)
        }
    }.run {
        RawClient(address).use { client ->
            client.send("HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n")
            client.get("/next")
            expectThat(client.read(hasBody = false)?.status).isEqualTo(status)
            expectThat(client.read()).get { this?.status to this?.body }.isEqualTo(200 to "next")
        }
        awaitAccounts()
        expectThat(count(ServerEvent.ResponseWritten)).isEqualTo(2)
    }

    @Test
    fun `a refused HEAD request gets no body`() = expectHeadOnly(503) { _, writer ->
        writer.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, emptyMap(), "no endpoint".encodeToByteArray())
    }

    @Test
    fun `a HEAD request whose response is streamed gets no body`() = expectHeadOnly(200) { _, writer ->
        writer.start(HttpResponseStatus.OK, emptyMap())
        writer.writeChunk("part".encodeToByteArray())
        writer.end()
    }

    @Test
    fun `a HEAD request whose handler fails gets no body`() = expectHeadOnly(500) { _, _ -> error("broken") }

    @Test
    fun `the length of the body that is left out is kept`() = ServerFixture { _, writer ->
        writer.respond(HttpResponseStatus.OK, emptyMap(), "four".encodeToByteArray())
    }.run {
        RawClient(address).use { client ->
            client.send("HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n")
            expectThat(client.read(hasBody = false)?.headers?.get("content-length")).isEqualTo("4")
        }
    }
}
