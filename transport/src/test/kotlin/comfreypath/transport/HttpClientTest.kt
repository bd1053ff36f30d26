package comfreypath.transport

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.time.Duration

class HttpClientTest {
    private val loop: EventLoop = eventLoops("test", 1).next()
    private val client = HttpClient(loop)

    @AfterEach
    fun stop() {
        loop.parent().shutdownGracefully()
    }

    private fun onLoop(test: suspend () -> Unit) = runBlocking { withContext(loop.dispatcher()) { test() } }

    private suspend fun serve(handler: suspend (IncomingRequest, ResponseWriter) -> Unit): Address =
        HttpServer(loop, HttpServerOptions(), handler).start(Address("127.0.0.1", 0))

    private fun Result<*, ExchangeFailure>.failure(): ExchangeFailure? = fold(success = { null }, failure = { it })

    private suspend fun echo(request: IncomingRequest, writer: ResponseWriter) =
        writer.respond(HttpResponseStatus.OK, emptyMap(), request.path.encodeToByteArray())

    @Test
    fun `a body that is read late is not mixed up with the response to a later request`() = onLoop {
        val address = serve(::echo)
        val first = client.exchange(address, OutgoingRequest(HttpMethod.GET, "/first")).getOrElse { error("$it") }
        delay(100)
        val second = client.fetch(address, OutgoingRequest(HttpMethod.GET, "/second")).getOrElse { error("$it") }
        expectThat(second.text()).isEqualTo("/second")
        expectThat(first.body().getOrElse { error("$it") }.decodeToString()).isEqualTo("/first")
    }

    @Test
    fun `a request whose connection is refused counts as not sent`() = onLoop {
        val failure = client.exchange(Address("127.0.0.1", 1), OutgoingRequest(HttpMethod.GET, "/")).failure()
        expectThat(failure?.sent ?: true).isFalse()
    }

    @Test
    fun `a request to an unresponsive server times out and counts as sent`() = onLoop {
        val address = serve { _, _ -> awaitCancellation() }
        val request = OutgoingRequest(HttpMethod.GET, "/", headTimeout = Duration.ofMillis(50))
        val failure = client.exchange(address, request).failure()
        expectThat(failure).isEqualTo(ExchangeFailure.TimedOut(sent = true))
    }

    @Test
    fun `a body without end fails at its limit and closes the connection`() = onLoop {
        var written = 0
        val closed = CompletableDeferred<Unit>()
        val address = serve { _, writer ->
            try {
                writer.start(HttpResponseStatus.OK, emptyMap())
                while (written < 1_024) {
                    writer.writeChunk(ByteArray(65_536))
                    written += 1
                }
                writer.end()
            } finally {
                closed.complete(Unit)
            }
        }
        val failure = client.fetch(address, OutgoingRequest(HttpMethod.GET, "/", maxBodyBytes = 1_000_000)).failure()
        expectThat(failure).isEqualTo(ExchangeFailure.BodyTooLong(1_000_000))
        withTimeout(5_000) { closed.await() }
        expectThat(written).isLessThan(1_024)
    }

    @Test
    fun `a body that stalls fails and its connection is not reused`() = onLoop {
        val address = serve { request, writer ->
            if (request.path == "/silent") {
                writer.start(HttpResponseStatus.OK, emptyMap())
                writer.writeChunk("begun".encodeToByteArray())
                awaitCancellation()
            }
            echo(request, writer)
        }
        val request = OutgoingRequest(HttpMethod.GET, "/silent", chunkTimeout = Duration.ofMillis(50))
        val stalled = client.fetch(address, request)
        expectThat(stalled.isErr).isTrue()
        val next = client.fetch(address, OutgoingRequest(HttpMethod.GET, "/next")).getOrElse { error("$it") }
        expectThat(next.text()).isEqualTo("/next")
    }
}
