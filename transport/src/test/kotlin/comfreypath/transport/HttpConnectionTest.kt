package comfreypath.transport

import com.github.michaelbull.result.getOrElse
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.time.Duration
import java.util.concurrent.LinkedBlockingQueue
import kotlin.concurrent.thread

class HttpConnectionTest {
    private val loop: EventLoop = eventLoops("test", 1).next()
    private val connector = HttpConnector(loop)
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())

    @AfterEach
    fun stop() {
        listener.close()
        loop.parent().shutdownGracefully()
    }

    private val responses = LinkedBlockingQueue<(Socket) -> Unit>()

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                socket.getInputStream().read(ByteArray(4_096))
                responses.take()(socket)
            }
        }
    }

    /** Calls [respond] with the next connection once a request has arrived on it. */
    private fun serve(respond: (Socket) -> Unit) = responses.put(respond)

    /** The parts received after one request, up to the end of the response or the abort of the connection. */
    private fun receive(): List<ResponsePart> = runBlocking {
        withContext(loop.dispatcher()) {
            val address = Address("127.0.0.1", listener.localPort)
            val connection = connector.connect(address, Duration.ofSeconds(1)).getOrElse { error("$it") }
            connection.send(RequestHead(HttpMethod.GET, "/", DefaultHttpHeaders().set("Host", "h")), ByteArray(0))
            val parts = ArrayList<ResponsePart>()
            do {
                parts += connection.next()
            } while (parts.last() !is ResponsePart.Aborted && parts.last() != ResponsePart.End)
            connection.close()
            parts
        }
    }

    private fun bodyOf(parts: List<ResponsePart>) = parts.filterIsInstance<ResponsePart.Bytes>()
        .joinToString("") { it.bytes.decodeToString() }

    private val framings = mapOf(
        "a length" to "HTTP/1.1 200 OK\r\nX-Seal: 3e1b\r\nContent-Length: 5\r\n\r\nhello",
        "chunks" to "HTTP/1.1 200 OK\r\nX-Seal: 3e1b\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    )

    @Test
    fun `a response that is truncated anywhere never counts as complete`() {
        framings.forEach { (framing, response) ->
            (1 until response.length).forEach { length ->
                serve { socket ->
                    socket.getOutputStream().write(response.take(length).encodeToByteArray())
                    socket.close()
                }
                val parts = receive()
                expectThat(parts.last()).describedAs("$framing, truncated after $length bytes")
                    .isA<ResponsePart.Aborted>()
            }
        }
    }

    @Test
    fun `a truncated head yields no response, even if the body would be delimited by the end of the connection`() {
        val head = "HTTP/1.1 200 OK\r\nX-Seal: 3e1b\r\n\r\n"
        (1 until head.length).forEach { length ->
            serve { socket ->
                socket.getOutputStream().write(head.take(length).encodeToByteArray())
                socket.close()
            }
            val parts = receive()
            expectThat(parts.any { it is ResponsePart.Head }).describedAs("truncated after $length bytes").isFalse()
        }
    }

    @Test
    fun `a response without a length ends when its connection is closed`() {
        val response = "HTTP/1.1 200 OK\r\nX-Seal: 3e1b\r\n\r\nhello"
        serve { socket ->
            socket.getOutputStream().write(response.encodeToByteArray())
            socket.close()
        }
        val parts = receive()
        expectThat(bodyOf(parts)).isEqualTo("hello")
        expectThat(parts.last() == ResponsePart.End).isTrue()
    }

    @Test
    fun `a response without a length is aborted when its connection is reset`() {
        serve { socket ->
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nhel".encodeToByteArray())
            Thread.sleep(50)
            socket.setSoLinger(true, 0)
            socket.close()
        }
        expectThat(receive().last()).isEqualTo(ResponsePart.Aborted(AbortReason.RESET))
    }

    @Test
    fun `bytes that are not an HTTP response are reported as malformed`() {
        serve { it.getOutputStream().write("SSH-2.0-OpenSSH_9.2\r\n\r\n".encodeToByteArray()) }
        expectThat(receive().last()).isEqualTo(ResponsePart.Aborted(AbortReason.MALFORMED))
    }

    @Test
    fun `interim responses are skipped`() {
        serve {
            it.getOutputStream().write(
                ("HTTP/1.1 100 Continue\r\n\r\n" + framings.getValue("a length")).encodeToByteArray()
            )
        }
        val parts = receive()
        expectThat((parts.first() as ResponsePart.Head).status).isEqualTo(200)
        expectThat(bodyOf(parts)).isEqualTo("hello")
    }
}
