package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.Socket

/** Guards against callers that are told "not run" by a status with which a server answered a request that has run. */
class UnmarkedRefusalTest {
    private val statuses = listOf("503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout")

    /** Runs each request, and then responds with the status whose code its id ends with. */
    private fun respond(request: RawRequest, socket: Socket) {
        socket.receive(request.bodyLength)
        val status = statuses.firstOrNull { it.startsWith(request.id.substringAfterLast('-')) } ?: "200 OK"
        socket.send(rawHead(request, status, "Content-Length: 2") + "no")
    }

    private fun statusesOf(route: String, tokens: String?, serveFrom: suspend PlatformFixture.(RawEndpoint) -> Unit) =
        mutableListOf<Int?>().also { received ->
            PlatformFixture().run {
                RawEndpoint(::respond).use { raw ->
                    serveFrom(raw)
                    statuses.map { it.substringBefore(' ') }.forEach { status ->
                        val body = if (tokens == null) ByteArray(1) else ByteArray(0)
                        received += call(PlatformRequest(route, "run-$status", tokens, body = body))?.status
                        expectThat(raw.requests.count { it.id == "run-$status" }).isEqualTo(1)
                    }
                }
            }
        }

    @Test
    fun `a booking whose server does not say that it has not run is not refused as not run`() {
        expectThat(statusesOf("book", null) { usePlainServer(it) }).isEqualTo(mutableListOf(502, 502, 502))
    }

    @Test
    fun `a stream that must not be repeated is not refused as not run without the server's word`() {
        expectThat(statusesOf("draft", "8,7") { useEngine(it) }).isEqualTo(mutableListOf(502, 502, 502))
    }
}
