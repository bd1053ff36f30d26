package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import comfreypath.standins.PlatformServerStandIn
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap

/**
 * A faulty server may send the beginning of an earlier response's head once more. It must not become the beginning of
 * the response to the next request, whose ID and signature would then follow another status.
 */
class PartialCopyTest {
    private val used = ConcurrentHashMap.newKeySet<Socket>()
    private val joined = ConcurrentHashMap.newKeySet<String>()

    private fun response(id: String, status: Int) = "HTTP/1.1 $status Status\r\nX-Attempt-Id: $id\r\n" +
        "X-Response-Seal: ${PlatformServerStandIn.signature(id)}\r\nContent-Length: 2\r\n\r\nok"

    /**
     * Runs each request. Sends [part] in front of the response to a request on a kept connection, either with the
     * response before or, if [late], while the request runs.
     */
    private fun endpoint(part: String, late: Boolean, status: Int) = RawEndpoint { request, socket ->
        socket.receive(request.bodyLength)
        if (request.id.startsWith("first")) {
            used += socket
            socket.send(response(request.id, OK) + if (late) "" else part)
        } else {
            if (socket in used) joined += request.id
            if (socket in used && late) socket.send(part)
            Thread.sleep(RUN_MILLISECONDS)
            socket.send(response(request.id, status))
        }
    }

    /** Sends requests that end with [status] and returns what their callers are told, without [UNCERTAIN] answers. */
    private fun told(part: String, late: Boolean, status: Int): List<Int?> {
        val told = mutableListOf<Int?>()
        PlatformFixture().run {
            endpoint(part, late, status).use { raw ->
                usePlainServer(raw)
                repeat(REQUESTS) {
                    send("book", "first-$it")
                    told += send("book", "next-$it")
                }
            }
        }
        return told.filter { it !in UNCERTAIN }
    }

    private suspend fun PlatformFixture.send(route: String, id: String): Int? =
        call(PlatformRequest(route, id, body = ByteArray(1)))?.status

    private fun expectOnly(status: Int, part: String, late: Boolean) {
        val told = told(part, late, status)
        expectThat(told).describedAs("a run ends with $status, after $part").isEqualTo(told.map { status })
    }

    @Test
    fun `a part of a success that follows a response does not turn the next failure into a success`() =
        listOf("HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nServer: ").forEach { expectOnly(FAILED, it, late = false) }

    @Test
    fun `a part of a refusal that follows a response does not make the next request look refused`() =
        expectOnly(OK, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nServer: ", late = false)

    @Test
    fun `a part of a success that arrives while a request runs does not turn its failure into a success`() {
        listOf("HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nServer: ").forEach { expectOnly(FAILED, it, late = true) }
        expectThat(joined.size).isGreaterThan(0)
    }

    @Test
    fun `a part of a refusal that arrives while a request runs does not make it look refused`() {
        expectOnly(OK, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nServer: ", late = true)
        expectThat(joined.size).isGreaterThan(0)
    }

    private companion object {
        const val OK = 200
        const val FAILED = 500
        const val REQUESTS = 3
        const val RUN_MILLISECONDS = 20L

        /** These answers promise nothing. */
        val UNCERTAIN = setOf(502, 504, null)
    }
}
