package comfreypath.transport

import com.github.michaelbull.result.getOrElse
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotSameInstanceAs
import strikt.assertions.isSameInstanceAs
import java.time.Duration
import java.time.InstantSource

class ConnectionPoolTest {
    private val loop: EventLoop = eventLoops("test", 1).next()
    private val pool = ConnectionPool(HttpConnector(loop), InstantSource.system())

    @AfterEach
    fun stop() {
        loop.parent().shutdownGracefully()
    }

    private fun withServer(test: suspend (Address) -> Unit) = runBlocking {
        withContext(loop.dispatcher()) {
            val server = HttpServer(loop, HttpServerOptions()) { _, writer ->
                writer.respond(HttpResponseStatus.OK, emptyMap(), ByteArray(0))
            }
            test(server.start(Address("127.0.0.1", 0)))
        }
    }

    /** Sends a request with [id] and returns the connection that carried it to the pool. */
    private suspend fun exchange(address: Address, id: String): HttpConnection {
        val connection = pool.acquire(address, LONG, LONG, id).getOrElse { error("$it") }.connection
        connection.send(RequestHead(HttpMethod.GET, "/", DefaultHttpHeaders()), ByteArray(0), id)
        var part = connection.next()
        while (part != ResponsePart.End) {
            check(part !is ResponsePart.Aborted) { "the response was aborted" }
            part = connection.next()
        }
        pool.release(connection, LONG, maxIdle = 4)
        return connection
    }

    @Test
    fun `a connection does not carry a request that it has carried before`() = withServer { address ->
        val first = exchange(address, "a")
        val second = exchange(address, "a")
        expectThat(second).isNotSameInstanceAs(first)
        expectThat(exchange(address, "b")).isSameInstanceAs(second)
    }

    @Test
    fun `requests with one id don't open connections beside idle ones`() = withServer { address ->
        repeat(REPETITIONS) { exchange(address, "a") }
        expectThat(pool.openCount(address)).isEqualTo(1)
    }

    @Test
    fun `a connection is closed once it can't remember another request`() = withServer { address ->
        val connections = (1..REQUESTS).map { exchange(address, "id-$it") }
        expectThat(connections.groupingBy { it }.eachCount().values).containsExactly(MOST_IDS, REQUESTS - MOST_IDS)
        expectThat(pool.openCount(address)).isEqualTo(1)
    }

    private companion object {
        val LONG: Duration = Duration.ofSeconds(5)
        const val MOST_IDS = 256
        const val REPETITIONS = 5
        const val REQUESTS = 300
    }
}
