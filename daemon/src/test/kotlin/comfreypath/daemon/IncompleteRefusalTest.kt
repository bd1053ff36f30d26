package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import comfreypath.standins.PlatformServerStandIn
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class IncompleteRefusalTest {
    @Test
    fun `a refusal whose body does not arrive still says that the request has not run`() = PlatformFixture().run {
        RawEndpoint { request, socket ->
            socket.receive(request.bodyLength)
            if (request.id.startsWith("refused")) {
                socket.send("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 2\r\n\r\n")
            } else {
                val seal = PlatformServerStandIn.signature(request.id)
                socket.send("HTTP/1.1 200 OK\r\nX-Response-Seal: $seal\r\nContent-Length: 2\r\n\r\nok")
            }
        }.use { raw ->
            usePlainServer(raw)
            val response = withTimeout(TIME_LIMIT_MILLISECONDS) {
                call(PlatformRequest("book", "refused", body = ByteArray(1)))
            }
            expectThat(response?.status).isEqualTo(503)
        }
    }

    private companion object {
        const val TIME_LIMIT_MILLISECONDS = 2_000L
    }
}
