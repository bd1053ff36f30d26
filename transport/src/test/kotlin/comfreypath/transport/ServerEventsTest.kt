package comfreypath.transport

import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.awaitCancellation
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import strikt.assertions.single

class ServerEventsTest {
    private suspend fun respond(writer: ResponseWriter) =
        writer.respond(HttpResponseStatus.OK, emptyMap(), "ok".encodeToByteArray())

    private fun ServerFixture.expectReason(reason: UnansweredReason, begun: Boolean) {
        eventually("a request is unanswered") { unanswered.isNotEmpty() }
        expectThat(unanswered).single().and {
            get { this.reason }.isEqualTo(reason)
            get { responseBegun }.isEqualTo(begun)
        }
    }

    @Test
    fun `a request and its response are counted`() = ServerFixture { _, writer -> respond(writer) }.run {
        RawClient(address).use { client ->
            client.get("/")
            expectThat(client.read()?.complete).isEqualTo(true)
        }
        awaitAccounts()
        expectThat(events.toList()).containsExactly(ServerEvent.RequestRead, ServerEvent.ResponseWritten)
    }

    @Test
    fun `a client that leaves is told apart from a stop of the server`() {
        ServerFixture { _, _ -> awaitCancellation() }.run {
            RawClient(address).use {
                it.get("/")
                eventually("the request is read") { count(ServerEvent.RequestRead) == 1 }
            }
            expectReason(UnansweredReason.CLIENT_CLOSED, begun = false)
        }
        ServerFixture { _, _ -> awaitCancellation() }.run {
            RawClient(address).use { client ->
                client.get("/")
                eventually("the request is read") { count(ServerEvent.RequestRead) == 1 }
                onLoop { server.stop() }
                expectThat(client.awaitEnd()).isTrue()
            }
            expectReason(UnansweredReason.SERVER_STOPPED, begun = false)
        }
    }

    @Test
    fun `an aborted response is reported`() = ServerFixture { _, writer ->
        writer.start(HttpResponseStatus.OK, emptyMap())
        writer.writeChunk("part".encodeToByteArray())
        writer.abort()
    }.run {
        RawClient(address).use { client ->
            client.get("/")
            expectThat(client.read()?.complete).isEqualTo(false)
        }
        expectReason(UnansweredReason.RESPONSE_ABORTED, begun = true)
    }

    @Test
    fun `a handler that fails before its response is reported and answered`() =
        ServerFixture { _, _ -> error("broken") }.run {
            RawClient(address).use { client ->
                client.get("/")
                expectThat(client.read()?.status).isEqualTo(500)
            }
            awaitAccounts()
            eventually("the failure is reported") { events.any { it is ServerEvent.HandlerFailed } }
            expectThat(events.filterIsInstance<ServerEvent.HandlerFailed>()).single()
                .get { failure.message }.isEqualTo("broken")
            expectThat(count(ServerEvent.ResponseWritten)).isEqualTo(1)
        }

    @Test
    fun `a handler that fails within its response is reported`() = ServerFixture { _, writer ->
        writer.start(HttpResponseStatus.OK, emptyMap())
        error("broken")
    }.run {
        RawClient(address).use { client ->
            client.get("/")
            expectThat(client.read()?.complete).isEqualTo(false)
        }
        expectReason(UnansweredReason.HANDLER_FAILED, begun = true)
    }

    @Test
    fun `a connection over the maximum is reported`() =
        ServerFixture(HttpServerOptions(maxConnections = 0)) { _, writer -> respond(writer) }.run {
            RawClient(address).use { expectThat(it.awaitEnd()).isTrue() }
            expectThat(events.toList()).containsExactly(ServerEvent.ConnectionRefused(0))
        }
}
