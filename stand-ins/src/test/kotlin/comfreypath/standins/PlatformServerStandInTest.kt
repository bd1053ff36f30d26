package comfreypath.standins

import com.github.michaelbull.result.getOrElse
import comfreypath.platform.PlatformHeaders
import comfreypath.transport.Address
import comfreypath.transport.ClientResponse
import comfreypath.transport.HttpClient
import comfreypath.transport.OutgoingRequest
import comfreypath.transport.dispatcher
import comfreypath.transport.eventLoops
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.time.Duration

class PlatformServerStandInTest {
    private val loops = eventLoops("stand-in-test", 1)
    private val loop = loops.next()
    private val client = HttpClient(loop)
    private val server = PlatformServerStandIn(loop, "plain-1", senderOf = { request ->
        request.headers.get(PlatformHeaders.REQUEST_ID).substringBefore('-')
    })
    private lateinit var address: Address

    private fun withServer(test: suspend () -> Unit) = runBlocking {
        withContext(loop.dispatcher()) {
            address = server.start(Address("127.0.0.1", 0))
            test()
            server.stop()
        }
        loops.shutdownGracefully()
        Unit
    }

    private suspend fun call(id: String, expected: String = "plain-1", extra: Map<String, String> = emptyMap()) =
        client.fetch(
            address,
            OutgoingRequest(
                HttpMethod.GET,
                "/x",
                mapOf(PlatformHeaders.REQUEST_ID to id, PlatformHeaders.EXPECTED_ENDPOINT to expected) + extra,
            ),
        ).getOrElse { error("no response to $id: $it") }

    private val ClientResponse.leaving: String? get() = headers.get(PlatformHeaders.LEAVING)
    private val ClientResponse.retryAfter: String? get() = headers.get(PlatformHeaders.RETRY_AFTER)

    @Test
    fun `a server that leaves says so in all its responses and keeps serving`() = withServer {
        expectThat(call("a-1").leaving).isNull()
        server.setFaults(PlatformServerFaults(leaving = true))
        val responses = listOf(call("a-2"), call("a-3", expected = "plain-2"), call("a-4", extra = stream))
        server.setFaults(PlatformServerFaults(leaving = true, retryAfter = "2"))
        val refusal = call("a-5")
        expectThat((responses + refusal).map { it.status }).containsExactly(200, 421, 200, 503)
        expectThat((responses + refusal).map { it.leaving }).containsExactly("1", "1", "1", "1")
        expectThat(server.receivedRequests.map { it.leaving }).containsExactly(false, true, true, true, true)
    }

    @Test
    fun `a server that pauses refuses one sender as not run until the pause ends, and serves others`() = withServer {
        server.setFaults(PlatformServerFaults(retryAfter = "30"))
        val first = call("a-1")
        expectThat(first.status).isEqualTo(503)
        expectThat(first.retryAfter).isEqualTo("30")
        expectThat(first.headers.get(PlatformHeaders.NOT_RUN)).isEqualTo("1")
        expectThat(first.headers.get(PlatformHeaders.REQUEST_ID)).isEqualTo("a-1")
        server.setFaults(PlatformServerFaults())
        expectThat(listOf(call("a-2"), call("a-3", expected = "plain-2"), call("b-1")).map { it.status })
            .containsExactly(503, 503, 200)
        expectThat(server.pauses.map { it.sender to it.refused }).containsExactly("a" to 2)
        expectThat(server.receivedRequests.map { it.ran }).containsExactly(false, false, false, true)
    }

    @Test
    fun `a server that returns is not leaving and has no pauses`() = withServer {
        server.setFaults(PlatformServerFaults(leaving = true, retryAfter = "30"))
        call("a-1")
        server.restart(downtime = Duration.ofMillis(50))
        val response = call("a-2")
        expectThat(response.status).isEqualTo(200)
        expectThat(response.leaving).isNull()
    }

    private companion object {
        val stream = mapOf(PlatformHeaders.MODEL to "m", PlatformHeaders.TOKEN_COUNTS to "10,7")
    }
}
