package comfreypath.transport

import com.github.michaelbull.result.getOrElse
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.time.Duration
import kotlin.concurrent.thread

/** Guards against targets whose bytes above 127 are encoded anew on their way to the endpoint. */
class RequestTargetBytesTest {
    private val loop = eventLoops("test", 1).next()

    /** Passes the target and the headers of a request on, as a router does. */
    private suspend fun passOn(request: IncomingRequest, to: Address) {
        val connection = HttpConnector(loop).connect(to, Duration.ofSeconds(1)).getOrElse { error("$it") }
        val headers = DefaultHttpHeaders().add(request.headers)
        connection.send(RequestHead(HttpMethod.GET, request.uri, headers), ByteArray(0))
    }

    @Test
    fun `the bytes of a path, a query and a header value reach the endpoint as they came`() {
        val endpoint = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
        val server = HttpServer(loop, HttpServerOptions()) { request, writer ->
            passOn(request, Address("127.0.0.1", endpoint.localPort))
            writer.respond(HttpResponseStatus.OK, emptyMap(), ByteArray(0))
        }
        val address = runBlocking { withContext(loop.dispatcher()) { server.start(Address("127.0.0.1", 0)) } }
        var received = ByteArray(0)
        val reader = thread { endpoint.accept().use { received = it.getInputStream().readNBytes(SENT.size) } }
        Socket(address.host, address.port).use {
            it.getOutputStream().write(SENT)
            it.getOutputStream().flush()
            reader.join()
        }
        expectThat(received.toString(Charsets.ISO_8859_1)).isEqualTo(SENT.toString(Charsets.ISO_8859_1))
        loop.parent().shutdownGracefully()
    }

    private companion object {
        val SENT = (
            "GET /\u00c3\u00a4\u0080\u00ff%ff/?q=\u00e9 HTTP/1.1\r\n" +
                "Host: a\r\nX-Name: \u00c3\u00a4\u00ff\r\n\r\n"
            ).toByteArray(Charsets.ISO_8859_1)
    }
}
