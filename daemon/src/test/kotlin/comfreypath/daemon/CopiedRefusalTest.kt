package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import comfreypath.standins.PlatformServerStandIn
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

private const val RUN_MILLISECONDS = 60L

/** A server that sends a refusal once more, with its ID, must not make a request look refused that runs meanwhile. */
class CopiedRefusalTest {
    /** The refusals that a connection has carried, by request ID. */
    private val refusals = ConcurrentHashMap<Socket, MutableMap<String, String>>()

    /** The connections on which each request has arrived. */
    private val sockets = ConcurrentHashMap<String, CopyOnWriteArrayList<Socket>>()

    /**
     * Refuses requests with what [refusal] returns, and runs those for which it returns null. Where a connection has
     * carried a refusal of the same request, it is sent once more before the request runs.
     */
    private fun endpoint(refusal: (RawRequest) -> String?) = RawEndpoint { request, socket ->
        socket.receive(request.bodyLength)
        val earlier = refusals.computeIfAbsent(socket) { ConcurrentHashMap() }
        sockets.computeIfAbsent(request.id) { CopyOnWriteArrayList() } += socket
        val refused = refusal(request)
        if (refused != null) {
            val head = "HTTP/1.1 $refused\r\nX-Not-Executed: 1\r\nX-Attempt-Id: ${request.id}\r\n" +
                "Content-Length: 0\r\n\r\n"
            earlier[request.id] = head
            socket.send(head)
        } else {
            earlier[request.id]?.let { socket.send(it) }
            Thread.sleep(RUN_MILLISECONDS)
            socket.send(response(request.id, request.header(STATUS) ?: "200"))
        }
    }

    private fun response(id: String, status: String): String = "HTTP/1.1 $status Run\r\nX-Attempt-Id: $id\r\n" +
        "X-Response-Seal: ${PlatformServerStandIn.signature(id)}\r\nContent-Length: 2\r\n\r\nok"

    private suspend fun PlatformFixture.send(route: String, id: String, status: String? = null): Int? {
        val headers = status?.let { mapOf(STATUS to it) }.orEmpty()
        return call(PlatformRequest(route, id, body = ByteArray(1), headers = headers))?.status
    }

    /** The last answer shows whether the one to the run before was taken for it. */
    @Test
    fun `a copy of a refusal does not end the request that its caller sends again`() = PlatformFixture().run {
        endpoint { request -> "503 Full".takeIf { request.header(STATUS) == null && request.id.startsWith("again") } }
            .use { raw ->
                usePlainServer(raw)
                (1..REQUESTS).forEach { number ->
                    val statuses = listOf(null, "200", "500").map { send("book", "again-book-$number", it) }
                    expectThat(statuses).isEqualTo(listOf(503, 200, 500))
                    val repeatable = listOf(null, "200").map { send("history", "again-history-$number", it) }
                    expectThat(repeatable).isEqualTo(listOf(503, 200))
                }
                expectThat(sockets.values.map { it.toList() }).all { get { distinct().size }.isEqualTo(subject.size) }
            }
    }

    /** A restarted server has two entries at one address until the older one lapses. */
    @Test
    fun `a copy of a misdirected request's refusal does not end it at the server's newer entry`() =
        PlatformFixture().run {
            val (older, newer) = fleet.plainServers.map { it.endpoint }
            endpoint { request ->
                "421 Misdirected".takeIf { request.header(PlatformHeaders.EXPECTED_ENDPOINT) == older.name.text }
            }.use { raw ->
                listOf(older, newer).forEach {
                    fleet.storeAdmin.updateRegistration(it.copy(host = raw.address.host, port = raw.address.port))
                }
                var probes = 0
                eventually("requests for both entries") {
                    send("history", "probe-${probes++}")
                    listOf(older, newer).all { entry ->
                        raw.requests.any { it.header(PlatformHeaders.EXPECTED_ENDPOINT) == entry.name.text }
                    }
                }
                val statuses = mutableListOf<Int?>()
                eventually("misdirected requests that arrived again") {
                    statuses += send("book", "booked-${statuses.size}")
                    raw.requests.groupBy { it.id }.count { it.value.size == 2 } >= MISDIRECTED_REQUESTS
                }
                expectThat(statuses).all { isEqualTo(200) }
                expectThat(sockets.values.map { it.toList() }).all { get { distinct().size }.isEqualTo(subject.size) }
            }
        }

    private companion object {
        /** The status with which the server ends the run of a request. */
        const val STATUS = "X-Test-Status"
        const val REQUESTS = 5
        const val MISDIRECTED_REQUESTS = 4
    }
}
