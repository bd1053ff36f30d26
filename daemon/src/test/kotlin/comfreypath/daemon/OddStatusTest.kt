package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against answers whose status line is no final one of HTTP, and that callers get as an answer or wait for. */
class OddStatusTest {
    private val heads = listOf(
        "000 Trouble",
        "099 Low",
        "600 High",
        "999 High",
        "20 Short",
        "0200 Long",
        "+200 Signed",
        "101 Switching Protocols",
    )

    @Test
    fun `a booking that is answered with an odd status may have run`() = PlatformFixture().run {
        RawEndpoint { request, socket ->
            socket.receive(request.bodyLength)
            val odd = request.id.substringAfter("odd-", "").toIntOrNull()
            socket.send(rawHead(request, odd?.let { heads[it] } ?: "200 OK", "Content-Length: 2") + "ok")
        }.use { raw ->
            usePlainServer(raw)
            heads.forEachIndexed { number, status ->
                val response = call(PlatformRequest("book", "odd-$number", body = ByteArray(1)))
                expectThat(response?.status).describedAs(status).isEqualTo(502)
                expectThat(raw.requests.count { it.id == "odd-$number" }).describedAs("attempts, $status").isEqualTo(1)
            }
        }
    }

    @Test
    fun `a booking that is answered without content, but with a body, may have run`() = PlatformFixture().run {
        RawEndpoint { request, socket ->
            socket.receive(request.bodyLength)
            val status = if (request.id.startsWith("204")) "204 No Content" else "304 Not Modified"
            val odd = request.id.endsWith("odd")
            socket.send(rawHead(request, if (odd) status else "200 OK", "Content-Length: 2") + "ok")
        }.use { raw ->
            usePlainServer(raw)
            listOf("204-odd", "304-odd").forEach { id ->
                val response = call(PlatformRequest("book", id, body = ByteArray(1)))
                expectThat(response?.status).describedAs(id).isEqualTo(502)
            }
        }
    }
}
