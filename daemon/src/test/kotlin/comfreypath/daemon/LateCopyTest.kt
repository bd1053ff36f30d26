package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import comfreypath.standins.PlatformServerStandIn
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

/** Guards against a late copy of an answer that reaches the caller of the next request on the connection. */
class LateCopyTest {
    private val seed = System.getProperty("seed")?.toLong() ?: 1_000L
    private val copies = AtomicInteger()

    /** The answer that each connection has carried last. */
    private val lastAnswers = ConcurrentHashMap<Socket, String>()

    private fun answer(request: RawRequest): String {
        val body = bodyOf(request.id)
        val tokens = request.header(PlatformHeaders.TOKEN_COUNTS)
        return when {
            tokens != null -> rawHead(request, "200 OK", "${EVENTS}Transfer-Encoding: chunked") +
                rawChunk(PlatformServerStandIn.event(request.id, 1).decodeToString()) + "0\r\n\r\n"
            request.id.endsWith(FAILED) -> rawHead(request, "500 Failed", "Content-Length: ${body.length}") + body
            request.id.endsWith(CHUNKED) ->
                rawHead(request, "200 OK", "Transfer-Encoding: chunked") + rawChunk(body) + "0\r\n\r\n"
            else -> rawHead(request, "200 OK", "Content-Length: ${body.length}") + body
        }
    }

    /** Sends the copy of the answer before where the next answer is due, and then that answer. */
    private val copyFirst = RawEndpoint { request, socket ->
        socket.receive(request.bodyLength)
        lastAnswers[socket]?.let {
            copies.incrementAndGet()
            socket.send(it)
            Thread.sleep(RUN_MILLISECONDS)
        }
        lastAnswers[socket] = answer(request)
        socket.send(answer(request))
    }

    /** Sends a copy of each answer, in two parts, some milliseconds after it. */
    private val copyLater = RawEndpoint { request, socket ->
        socket.receive(request.bodyLength)
        val random = Random(seed + request.id.hashCode())
        Thread.sleep(random.nextLong(MAX_PAUSE_MILLISECONDS))
        val answer = answer(request)
        synchronized(socket) { socket.send(answer) }
        thread(isDaemon = true) {
            Thread.sleep(random.nextLong(MAX_PAUSE_MILLISECONDS))
            synchronized(socket) {
                runCatching {
                    socket.send(answer.take(answer.length / 2))
                    Thread.sleep(random.nextLong(MAX_PAUSE_MILLISECONDS))
                    socket.send(answer.drop(answer.length / 2))
                    copies.incrementAndGet()
                }
            }
        }
    }

    private fun bodyOf(id: String) = "answer to $id"

    private fun expected(id: String, route: String) = when {
        route == "draft" || route == "follow" -> PlatformServerStandIn.event(id, 1).decodeToString()
        else -> bodyOf(id)
    }

    private fun request(route: String, id: String): PlatformRequest = when (route) {
        "book" -> PlatformRequest(route, id, body = ByteArray(1))
        "history" -> PlatformRequest(route, id)
        else -> PlatformRequest(route, id, tokens = "8,7")
    }

    /** Sends a request of [route]; returns what is wrong with its answer, or null. */
    private suspend fun PlatformFixture.faultOf(route: String, id: String): String? {
        val response = call(request(route, id)) ?: return null
        val own = response.text() == expected(id, route)
        val failed = response.status == 500 && id.endsWith(FAILED) || response.status == 200 && !id.endsWith(FAILED)
        val refused = response.status in LOST_STATUSES
        return if (own && failed || refused) null else "$id: ${response.status} ${response.text()}"
    }

    private suspend fun PlatformFixture.faultsInTurn(routes: List<String>): List<String> =
        (0 until REQUESTS).mapNotNull { number ->
            val ending = listOf("", FAILED, CHUNKED)[number % 3].takeIf { "draft" !in routes }.orEmpty()
            val route = routes[number % routes.size]
            faultOf(route, "$route-$number$ending")
        }

    @Test
    fun `a copy of an answer where the next answer is due reaches no caller`() = PlatformFixture().run {
        copyFirst.use { raw ->
            usePlainServer(raw)
            val before = copies.get()
            expectThat(faultsInTurn(listOf("book", "history"))).isEmpty()
            expectThat(copies.get()).isGreaterThan(before + REQUESTS / 2)
        }
    }

    @Test
    fun `a copy of a stream where the next one is due reaches no caller`() = PlatformFixture().run {
        copyFirst.use { raw ->
            useEngine(raw)
            val before = copies.get()
            expectThat(faultsInTurn(listOf("draft", "follow"))).isEmpty()
            expectThat(copies.get()).isGreaterThan(before + REQUESTS / 2)
        }
    }

    private suspend fun PlatformFixture.faultsAtOnce(routes: List<String>): List<String> = coroutineScope {
        List(CALLERS) { caller ->
            async {
                (0 until REQUESTS).mapNotNull { number ->
                    val route = routes[number % routes.size]
                    faultOf(route, "$route-$caller-$number")
                }
            }
        }.awaitAll().flatten()
    }

    @Test
    fun `copies of answers that arrive at any moment reach no caller`() = PlatformFixture().run {
        copyLater.use { raw ->
            usePlainServer(raw)
            expectThat(faultsAtOnce(listOf("book", "history"))).describedAs("seed $seed").isEmpty()
            expectThat(copies.get()).isGreaterThan(0)
        }
    }

    @Test
    fun `copies of streams that arrive at any moment reach no caller`() = PlatformFixture().run {
        copyLater.use { raw ->
            useEngine(raw)
            expectThat(faultsAtOnce(listOf("draft", "follow"))).describedAs("seed $seed").isEmpty()
            expectThat(copies.get()).isGreaterThan(0)
        }
    }

    @Test
    fun `a booking beside copies of answers runs once`() = PlatformFixture().run {
        copyLater.use { raw ->
            usePlainServer(raw)
            faultsAtOnce(listOf("book"))
            val runs = raw.requests.filter { it.id.startsWith("book") }.groupBy { it.id }.mapValues { it.value.size }
            expectThat(runs.filterValues { it > 1 }).isEqualTo(emptyMap())
        }
    }

    private companion object {
        const val EVENTS = "Content-Type: text/event-stream\r\n"
        const val FAILED = "-failed"
        const val CHUNKED = "-chunked"
        const val REQUESTS = 24
        const val CALLERS = 6
        const val RUN_MILLISECONDS = 10L
        const val MAX_PAUSE_MILLISECONDS = 6L

        /** A copy in the middle of a head breaks the connection: nothing tells whose answer is lost then. */
        val LOST_STATUSES = listOf(502, 504)
    }
}
