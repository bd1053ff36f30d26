package comfreypath.transport

import io.netty.handler.codec.http.HttpResponseStatus
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.time.Duration

private const val LARGE_BODY_BYTES = 8_000_000
private const val SMALL_RECEIVE_BUFFER = 4_096
private const val WAITING_CLIENTS = 100

class ConnectionCloseTest {
    private suspend fun respond(request: IncomingRequest, writer: ResponseWriter) =
        writer.respond(HttpResponseStatus.OK, emptyMap(), request.path.encodeToByteArray())

    private fun slowReader(options: HttpServerOptions, beforeRead: ServerFixture.() -> Unit) =
        ServerFixture(options) { _, writer ->
            writer.respond(HttpResponseStatus.OK, emptyMap(), ByteArray(LARGE_BODY_BYTES) { 'a'.code.toByte() })
        }.run {
            RawClient(address, SMALL_RECEIVE_BUFFER).use { client ->
                client.get("/")
                eventually("the request is read") { count(ServerEvent.RequestRead) == 1 }
                Thread.sleep(50)
                beforeRead()
                expectThat(client.read()?.body?.length).isEqualTo(LARGE_BODY_BYTES)
            }
            awaitAccounts()
            expectThat(count(ServerEvent.ResponseWritten)).isEqualTo(1)
        }

    @Test
    fun `closing idle connections does not cut off a response that the client still reads`() =
        slowReader(HttpServerOptions()) { onLoop { server.closeIdle() } }

    @Test
    fun `the idle timeout does not cut off a response that the client still reads`() =
        slowReader(HttpServerOptions(idleTimeout = Duration.ofMillis(100))) { Thread.sleep(400) }

    @Test
    fun `a client that reads nothing of its response does not keep the connection forever`() =
        ServerFixture(HttpServerOptions(writeTimeout = Duration.ofMillis(100))) { _, writer ->
            writer.respond(HttpResponseStatus.OK, emptyMap(), ByteArray(LARGE_BODY_BYTES))
        }.run {
            RawClient(address, SMALL_RECEIVE_BUFFER).use { client ->
                client.get("/")
                eventually("the response is given up") { unanswered.isNotEmpty() }
                expectThat(unanswered.single().reason).isEqualTo(UnansweredReason.WRITE_TIMED_OUT)
            }
        }

    @Test
    fun `closing idle connections spares a request whose head is not complete`() =
        ServerFixture(handler = ::respond).run {
            RawClient(address).use { client ->
                client.send("GET /1 HTTP/1.1\r\nHo")
                Thread.sleep(50)
                onLoop { server.closeIdle() }
                client.send("st: a\r\n\r\n")
                expectThat(client.read()?.body).isEqualTo("/1")
            }
        }

    @Test
    fun `closing idle connections spares a request whose first bytes came with the one before`() =
        ServerFixture(handler = ::respond).run {
            RawClient(address).use { client ->
                client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\n")
                expectThat(client.read()?.body).isEqualTo("/1")
                onLoop { server.closeIdle() }
                client.send("Host: a\r\n\r\n")
                expectThat(client.read()?.body).isEqualTo("/2")
            }
        }

    @Test
    fun `a rejection reaches a client that is still sending its body`() =
        ServerFixture(HttpServerOptions(maxBodyBytes = 8), ::respond).run {
            RawClient(address).use { client ->
                client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n")
                repeat(20) {
                    client.send("b".repeat(100_000))
                    Thread.sleep(2)
                }
                expectThat(client.read()?.status).isEqualTo(413)
                expectThat(client.awaitEnd()).isTrue()
            }
        }

    /** A stop of a busy server reset connections whose requests it had not got to yet. */
    @Test
    fun `connections that wait to be accepted when the server stops accepting get their responses`() =
        ServerFixture(handler = ::respond).run {
            val clients = mutableListOf<RawClient>()
            onLoop {
                repeat(WAITING_CLIENTS) { clients += RawClient(address).apply { get("/$it") } }
                server.closeAfterResponse = true
                server.stopAccepting()
            }
            val bodies = clients.map { client -> client.use { runCatching { it.read()?.body }.getOrNull() } }
            expectThat(bodies).isEqualTo(List(WAITING_CLIENTS) { "/$it" })
        }

    /** The platform opens a connection, and its first request follows a moment later. */
    @Test
    fun `closing idle connections spares one that has only just been opened`() =
        ServerFixture(handler = ::respond).run {
            RawClient(address).use { client ->
                eventually("the connection is open") { onLoop { server.connectionCount } == 1 }
                onLoop { server.closeIdle() }
                Thread.sleep(50)
                client.get("/1")
                expectThat(client.read()?.body).isEqualTo("/1")
            }
        }

    @Test
    fun `closing idle connections closes one on which no request comes`() = ServerFixture(handler = ::respond).run {
        RawClient(address).use { client ->
            eventually("the connection is open") { onLoop { server.connectionCount } == 1 }
            eventually("the connection is closed") {
                onLoop { server.closeIdle() }
                onLoop { server.connectionCount } == 0
            }
            expectThat(client.awaitEnd()).isTrue()
        }
    }
}
