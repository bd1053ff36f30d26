package comfreypath.transport

import com.github.michaelbull.result.getOrElse
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
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
    private fun receive(
        withinMilliseconds: Long = 60_000,
        body: ByteArray = ByteArray(0),
    ): List<ResponsePart> = runBlocking {
        withContext(loop.dispatcher()) {
            val connection = connect()
            connection.send(head(if (body.isEmpty()) HttpMethod.GET else HttpMethod.POST), body)
            val parts = ArrayList<ResponsePart>()
            try {
                withTimeout(withinMilliseconds) {
                    do {
                        parts += connection.next()
                    } while (parts.last() !is ResponsePart.Aborted && parts.last() != ResponsePart.End)
                }
            } finally {
                connection.close()
            }
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

    /** A write that waits fails before the reset can be read, and no more can be read after that. */
    @Test
    fun `a response without a length is aborted when the reset meets a request that is still being written`() {
        serve { socket ->
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\nX-Seal: 3e1b\r\n\r\nhel".encodeToByteArray())
            Thread.sleep(50)
            socket.setSoLinger(true, 0)
            socket.close()
        }
        val parts = receive(body = ByteArray(LONG_BODY_BYTES))
        expectThat(parts.first()).isA<ResponsePart.Head>()
        expectThat(parts.last()).isEqualTo(ResponsePart.Aborted(AbortReason.RESET))
    }

    @Test
    fun `a response without a length that is reset anywhere never counts as complete`() {
        val response = "HTTP/1.1 200 OK\r\nX-Seal: 3e1b\r\n\r\nhello"
        (1..response.length).forEach { length ->
            serve { socket ->
                socket.getOutputStream().write(response.take(length).encodeToByteArray())
                socket.setSoLinger(true, 0)
                socket.close()
            }
            expectThat(receive().last()).describedAs("reset after $length bytes").isA<ResponsePart.Aborted>()
        }
    }

    @Test
    fun `a response without a length is not complete when its reader closes the connection`() {
        serve { socket ->
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nhel".encodeToByteArray())
            socket.getInputStream().read()
        }
        onLoop {
            val connection = connect()
            connection.send(head(HttpMethod.GET), ByteArray(0))
            expectThat(connection.next()).isA<ResponsePart.Head>()
            expectThat(connection.next()).isA<ResponsePart.Bytes>()
            connection.close()
            expectThat(connection.next()).isA<ResponsePart.Aborted>()
            connection
        }
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

    @Test
    fun `a connection is not reused while its request is still being written`() {
        val request = LinkedBlockingQueue<Int>()
        val mayRead = LinkedBlockingQueue<Unit>()
        serve { socket ->
            socket.getOutputStream().write(framings.getValue("a length").encodeToByteArray())
            mayRead.take()
            var length = 0
            val buffer = ByteArray(65_536)
            socket.soTimeout = 300
            runCatching {
                var read = socket.getInputStream().read(buffer)
                while (read >= 0) {
                    length += read
                    read = socket.getInputStream().read(buffer)
                }
            }
            request.put(length)
        }
        onLoop {
            val connection = connect()
            connection.send(head(HttpMethod.POST), ByteArray(LONG_BODY_BYTES))
            while (connection.next() != ResponsePart.End) Unit
            connection.finishExchange()
            expectThat(connection.reusable).isFalse()
            mayRead.put(Unit)
            withTimeout(2_000) { while (!connection.reusable) delay(10) }
            connection
        }
        expectThat(request.take()).isGreaterThan(LONG_BODY_BYTES - 4_096)
    }

    @Test
    fun `a response without end is aborted within bounds`() {
        val head = "HTTP/1.1 200 OK\r\n"
        val chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
        val endless = mapOf(
            "status line" to ("HTTP/1.1 200 " to "x"),
            "header" to (head + "X-Long: " to "x"),
            "headers" to (head to "X-Header: 1\r\n"),
            "chunk size" to (chunked to "0"),
            "chunk extension" to (chunked + "5;" to "x"),
            "chunk trailer" to (chunked + "0\r\n" to "X-Trailer: 1\r\n"),
        )
        endless.forEach { (part, bytes) ->
            val (start, repeated) = bytes
            val sent = LinkedBlockingQueue<Long>()
            serve { socket ->
                val block = repeated.repeat(4_096 / repeated.length).encodeToByteArray()
                var length = 0L
                runCatching {
                    socket.getOutputStream().write(start.encodeToByteArray())
                    while (length < ENDLESS_BYTES) {
                        socket.getOutputStream().write(block)
                        length += block.size
                    }
                }
                sent.put(length)
            }
            val last = runCatching { receive(withinMilliseconds = 5_000).last() }.getOrNull()
            expectThat(last).describedAs("endless $part")
                .isEqualTo(ResponsePart.Aborted(AbortReason.FRAMING_TOO_LONG))
            expectThat(sent.take()).describedAs("bytes of an endless $part").isLessThan(ENDLESS_BYTES)
        }
    }

    @Test
    fun `interim responses without end are aborted within bounds`() {
        serve { socket ->
            runCatching {
                while (true) socket.getOutputStream().write("HTTP/1.1 102 Processing\r\n\r\n".encodeToByteArray())
            }
        }
        expectThat(receive(withinMilliseconds = 5_000).last())
            .isEqualTo(ResponsePart.Aborted(AbortReason.TOO_MANY_INTERIM_RESPONSES))
    }

    @Test
    fun `bytes after a response close the connection`() {
        val sent = LinkedBlockingQueue<Long>()
        serve { socket ->
            var length = 0L
            runCatching {
                socket.getOutputStream().write(framings.getValue("a length").encodeToByteArray())
                Thread.sleep(100)
                while (length < ENDLESS_BYTES) {
                    socket.getOutputStream().write(ByteArray(4_096) { 'x'.code.toByte() })
                    length += 4_096
                }
            }
            sent.put(length)
        }
        onLoop {
            val connection = connect()
            connection.send(head(HttpMethod.GET), ByteArray(0))
            while (connection.next() != ResponsePart.End) Unit
            connection.finishExchange()
            withTimeout(5_000) { while (connection.open) delay(10) }
            connection
        }
        expectThat(sent.take()).isLessThan(ENDLESS_BYTES)
    }

    private fun head(method: HttpMethod) = RequestHead(method, "/", DefaultHttpHeaders().set("Host", "h"))

    private suspend fun connect() = connector.connect(Address("127.0.0.1", listener.localPort), Duration.ofSeconds(1))
        .getOrElse { error("$it") }

    private fun onLoop(test: suspend () -> HttpConnection) = runBlocking {
        withContext(loop.dispatcher()) { test().close() }
    }

    private companion object {
        const val LONG_BODY_BYTES = 16_000_000
        const val ENDLESS_BYTES = 64_000_000L
    }
}
