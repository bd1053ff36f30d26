package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import comfreypath.standins.PlatformServerStandIn
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.Socket

/** A server that stops within the head of its answer must not make an answer without a length of it. */
class TruncatedHeadTest {
    private fun wholeResponse(id: String, type: String) = "HTTP/1.1 200 OK\r\nX-Attempt-Id: $id\r\n" +
        "X-Response-Seal: ${PlatformServerStandIn.signature(id)}\r\n$type\r\nContent-Length: 20\r\n\r\n"

    /** Responds with the part of a head whose length is the end of the request's id, and closes or resets. */
    private fun respondTruncated(type: String, reset: Boolean) = { request: RawRequest, socket: Socket ->
        socket.receive(request.bodyLength)
        if (request.id.startsWith("cut-")) {
            socket.send(wholeResponse(request.id, type).take(request.id.substringAfterLast('-').toInt()))
            if (reset) socket.setSoLinger(true, 0)
            socket.close()
        } else {
            socket.send(wholeResponse(request.id, type) + "id: 1\ndata: 1234567\n\n".take(20))
        }
    }

    /** Expects that a request gets no success wherever the head is truncated; [request] creates it from its id. */
    private fun expectNoSuccess(
        type: String,
        reset: Boolean,
        serveFrom: suspend PlatformFixture.(RawEndpoint) -> Unit,
        request: (String) -> PlatformRequest,
    ) = PlatformFixture().run {
        RawEndpoint(respondTruncated(type, reset)).use { raw ->
            serveFrom(raw)
            (1..wholeResponse("cut-100", type).length step STEP_BYTES).forEach { length ->
                val status = call(request("cut-$length"))?.status
                expectThat(status).describedAs("$length bytes, reset: $reset").isEqualTo(502)
            }
        }
    }

    @Test
    fun `a booking whose answer's head is truncated gets no success`() = listOf(false, true).forEach { reset ->
        expectNoSuccess("Content-Type: application/json", reset, { usePlainServer(it) }) { id ->
            PlatformRequest("book", id, body = ByteArray(1))
        }
    }

    @Test
    fun `a stream whose answer's head is truncated gets no success`() = listOf(false, true).forEach { reset ->
        expectNoSuccess("Content-Type: text/event-stream", reset, { useEngine(it) }) { id ->
            PlatformRequest("draft", id, "8,7")
        }
    }

    private companion object {
        const val STEP_BYTES = 7
    }
}
