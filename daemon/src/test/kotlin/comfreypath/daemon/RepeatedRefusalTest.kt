package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import comfreypath.standins.PlatformServerStandIn
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isContainedIn
import strikt.assertions.isEqualTo
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

private const val REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
private const val RUN_MILLISECONDS = 200L

/** A faulty server that sends an earlier refusal once more must not make a running request look refused. */
class RepeatedRefusalTest {
    /** The connections whose latest answer was a refusal. */
    private val refused = ConcurrentHashMap.newKeySet<Socket>()

    /** Runs each booking whose id begins with `run`, after a copy of a refusal where [copies] says so. */
    private fun endpoint(
        refusal: (RawRequest) -> String,
        copies: (Socket) -> Boolean
    ) = RawEndpoint { request, socket ->
        socket.receive(request.bodyLength)
        if (request.id.startsWith("refused")) {
            refused += socket
            socket.send(refusal(request) + "Content-Length: 0\r\n\r\n")
        } else {
            if (request.id.startsWith("run") && copies(socket)) socket.send("${REFUSAL}Content-Length: 0\r\n\r\n")
            if (request.id.startsWith("run")) Thread.sleep(RUN_MILLISECONDS)
            socket.send(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: ${request.id}\r\n" +
                    "X-Response-Seal: ${PlatformServerStandIn.signature(request.id)}\r\nContent-Length: 2\r\n\r\nok",
            )
        }
    }

    private suspend fun PlatformFixture.book(id: String): Int? =
        call(PlatformRequest("book", id, body = ByteArray(1)))?.status

    private val RawEndpoint.runs: List<Int>
        get() = requests.filter { it.id.startsWith("run") }.groupBy { it.id }.map { it.value.size }

    @Test
    fun `an old refusal without an id, sent once more, does not make a booking run twice`() = PlatformFixture().run {
        endpoint({ REFUSAL }, { refused.remove(it) }).use { raw ->
            usePlainServer(raw)
            repeat(BOOKINGS) {
                expectThat(book("refused-$it")).isContainedIn(listOf(502, 503))
                expectThat(book("run-$it")).isEqualTo(200)
            }
            expectThat(raw.runs).isEqualTo(List(BOOKINGS) { 1 })
        }
    }

    @Test
    fun `a refusal of another connection, sent on a kept one, does not make a booking run twice`() =
        PlatformFixture().run {
            val used = ConcurrentHashMap.newKeySet<Socket>()
            val copied = AtomicInteger()
            endpoint({ REFUSAL }, { !used.add(it) && copied.incrementAndGet() > 0 }).use { raw ->
                usePlainServer(raw)
                // A connection that was idle for too long is not used again.
                val statuses = mutableListOf<Int?>()
                while (copied.get() == 0 && statuses.size < MAX_BOOKINGS) {
                    statuses += book("run-${statuses.size}")
                }
                expectThat(copied.get()).isEqualTo(1)
                expectThat(statuses.last()).isEqualTo(502)
                expectThat(raw.runs).isEqualTo(statuses.map { 1 })
            }
        }

    @Test
    fun `a truthful refusal is believed after another one without an id`() = PlatformFixture().run {
        endpoint({ REFUSAL }, { false }).use { raw ->
            usePlainServer(raw)
            expectThat(book("first")).isEqualTo(200)
            // It can't be told from a copy if the connection was kept.
            expectThat(book("refused-0")).isContainedIn(listOf(502, 503))
            repeat(BOOKINGS) {
                expectThat(book("first-$it")).isEqualTo(200)
                expectThat(book("refused-${it + 1}")).isEqualTo(503)
            }
        }
    }

    @Test
    fun `a truthful refusal with the request's id is believed on a kept connection`() = PlatformFixture().run {
        endpoint({ "${REFUSAL}X-Attempt-Id: ${it.id}\r\n" }, { false }).use { raw ->
            usePlainServer(raw)
            repeat(BOOKINGS) {
                expectThat(book("first-$it")).isEqualTo(200)
                expectThat(book("refused-$it")).isEqualTo(503)
            }
        }
    }

    private companion object {
        const val BOOKINGS = 3
        const val MAX_BOOKINGS = 50
    }
}
