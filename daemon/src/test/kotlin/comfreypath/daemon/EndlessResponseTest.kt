package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import comfreypath.standins.PlatformServerStandIn
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue

class EndlessResponseTest {
    private val sent = LinkedBlockingQueue<Long>()

    private fun head(request: RawRequest) =
        "HTTP/1.1 200 OK\r\nX-Response-Seal: ${PlatformServerStandIn.signature(request.id)}\r\n"

    private fun respondWhole(request: RawRequest, socket: Socket) =
        socket.send(head(request) + "Content-Length: 2\r\n\r\nok")

    /** Sends [start] and then bytes without end, until the router closes the connection. */
    private fun respondEndlessly(start: String, socket: Socket) {
        var length = 0L
        runCatching {
            socket.send(start)
            while (length < ENDLESS_BYTES) {
                socket.getOutputStream().write(ByteArray(BLOCK_BYTES) { 'x'.code.toByte() })
                length += BLOCK_BYTES
            }
        }
        sent.put(length)
    }

    private fun endpoint(start: (RawRequest) -> String) = RawEndpoint { request, socket ->
        socket.receive(request.bodyLength)
        if (request.id.startsWith("probe")) {
            respondWhole(request, socket)
        } else {
            respondEndlessly(start(request), socket)
        }
    }

    private suspend fun PlatformFixture.expectRefusedInTime(request: PlatformRequest) {
        val response = withTimeout(TIME_LIMIT_MILLISECONDS) { call(request) }
        expectThat(response?.status).isEqualTo(502)
        expectThat(sent.take()).isLessThan(ENDLESS_BYTES)
    }

    @Test
    fun `a whole response without end is refused`() = PlatformFixture().run {
        endpoint { head(it) + "\r\n" }.use { raw ->
            usePlainServer(raw)
            expectRefusedInTime(PlatformRequest("book", "endless", body = ByteArray(1)))
        }
    }

    @Test
    fun `an event without end is refused`() = PlatformFixture().run {
        endpoint { head(it) + "\r\nid: 1\ndata: " }.use { raw ->
            useEngine(raw)
            expectRefusedInTime(PlatformRequest("draft", "endless", "1612,70"))
        }
    }

    @Test
    fun `a response without end to another request is refused`() = PlatformFixture().run {
        endpoint { head(it) + "X-Attempt-Id: other\r\n\r\n" }.use { raw ->
            usePlainServer(raw)
            expectRefusedInTime(PlatformRequest("book", "endless", body = ByteArray(1)))
        }
    }

    private companion object {
        const val TIME_LIMIT_MILLISECONDS = 3_500L
        const val BLOCK_BYTES = 16_384
        const val ENDLESS_BYTES = 256_000_000L
    }
}
