package comfreypath.transport

import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.time.Duration

class ReceiveTimerTest {
    private val handlingMilliseconds = 400L

    private fun expectRequestTimeout(nextRequest: String) =
        ServerFixture(HttpServerOptions(receiveTimeout = Duration.ofMillis(150))) { _, writer ->
            delay(handlingMilliseconds)
            writer.respond(HttpResponseStatus.OK, emptyMap(), ByteArray(0))
        }.run {
            RawClient(address).use { client ->
                client.get("/1")
                Thread.sleep(50)
                client.send(nextRequest)
                expectThat(client.read()?.status).isEqualTo(200)
                expectThat(client.read()?.status).isEqualTo(408)
                expectThat(client.awaitEnd()).isTrue()
            }
        }

    @Test
    fun `a head that stops while another request is handled times out`() =
        expectRequestTimeout("GET /2 HTTP/1.1\r\n")

    @Test
    fun `a body that stops while another request is handled times out`() =
        expectRequestTimeout("POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab")

    @Test
    fun `a longer idle timeout applies to connections that are already open`() =
        ServerFixture(HttpServerOptions(idleTimeout = Duration.ofMillis(200))) { _, writer ->
            writer.respond(HttpResponseStatus.OK, emptyMap(), ByteArray(0))
        }.run {
            RawClient(address).use { client ->
                client.get("/1")
                expectThat(client.read()?.status).isEqualTo(200)
                options = options.copy(idleTimeout = Duration.ofMillis(700))
                Thread.sleep(400)
                client.get("/2")
                expectThat(client.read()?.status).isEqualTo(200)
                expectThat(client.read()).isNull()
            }
        }
}
