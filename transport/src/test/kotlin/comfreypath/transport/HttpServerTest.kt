package comfreypath.transport

import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.startsWith
import java.net.Socket
import java.time.Duration

class HttpServerTest {
    private val loop: EventLoop = eventLoops("test", 1).next()
    private val options = HttpServerOptions(maxBodyBytes = 8, receiveTimeout = Duration.ofMillis(200))

    @AfterEach
    fun stop() {
        loop.parent().shutdownGracefully()
    }

    private fun statusLineFor(text: String): String = runBlocking {
        val server = HttpServer(loop, options) { _, writer ->
            writer.respond(HttpResponseStatus.OK, emptyMap(), ByteArray(0))
        }
        val address = withContext(loop.dispatcher()) { server.start(Address("127.0.0.1", 0)) }
        withContext(Dispatchers.IO) {
            Socket(address.host, address.port).use { socket ->
                socket.soTimeout = 5_000
                socket.getOutputStream().write(text.encodeToByteArray())
                socket.getOutputStream().flush()
                socket.getInputStream().bufferedReader().readLine().orEmpty()
            }
        }
    }

    @Test
    fun `a request that is not complete in time is rejected`() {
        val slow = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab"
        expectThat(statusLineFor(slow)).startsWith("HTTP/1.1 408")
    }

    @Test
    fun `a body over the limit is rejected`() {
        val large = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\nabcdefghijkl"
        expectThat(statusLineFor(large)).startsWith("HTTP/1.1 413")
    }

    @Test
    fun `a pipelined request does not affect the response to the first one`() {
        val two = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
        expectThat(statusLineFor(two)).startsWith("HTTP/1.1 200")
    }
}
