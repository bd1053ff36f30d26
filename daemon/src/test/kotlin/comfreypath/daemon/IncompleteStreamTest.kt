package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import comfreypath.standins.PlatformServerFaults
import comfreypath.standins.PlatformServerStandIn
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class IncompleteStreamTest {
    private val tokens = "1612,70"

    /** The complete response; null if the connection ends before that. Fails if the connection stays open. */
    private suspend fun PlatformFixture.endOf(request: PlatformRequest) =
        withTimeout(TIME_LIMIT_MILLISECONDS) { call(request) }

    @Test
    fun `a begun stream is broken off when the attempt to resume it gets a whole response`() = PlatformFixture().run {
        setEngineFaults(PlatformServerFaults(abortAfterEvents = 6, failResumed = true))
        expectThat(endOf(PlatformRequest("follow", "s1", tokens))).isNull()
        expectThat(requestsSeen("s1").size).isEqualTo(2)
        setEngineFaults(PlatformServerFaults())
        expectThat(endOf(PlatformRequest("follow", "s2", tokens))).isNotNull()
            .get { text() }.isEqualTo(expectedStream("s2", tokens))
    }

    @Test
    fun `a framed stream that ends within an event is resumed`() = PlatformFixture().run {
        setEngineFaults(PlatformServerFaults(abortAfterEvents = 6, truncateEvent = true, endAborted = true))
        expectThat(endOf(PlatformRequest("follow", "s1", tokens))).isNotNull()
            .get { text() }.isEqualTo(expectedStream("s1", tokens))
    }

    @Test
    fun `a framed stream that ends within an event and can't be resumed is broken off`() = PlatformFixture().run {
        setEngineFaults(PlatformServerFaults(abortAfterEvents = 6, truncateEvent = true, endAborted = true))
        expectThat(endOf(PlatformRequest("draft", "s1", tokens))).isNull()
    }

    @Test
    fun `a stream that ends with its connection within an event is broken off`() = PlatformFixture().run {
        RawEndpoint { request, socket ->
            val head = "HTTP/1.1 200 OK\r\nX-Response-Seal: ${PlatformServerStandIn.signature(request.id)}\r\n" +
                "Content-Type: text/event-stream\r\n\r\n"
            val events = (1..3).joinToString("") { PlatformServerStandIn.event(request.id, it).decodeToString() }
            val end = if (request.id.startsWith("cut")) "id: 4\nda" else ""
            socket.send(head + events + end)
            socket.close()
        }.use { raw ->
            useEngine(raw)
            expectThat(endOf(PlatformRequest("draft", "cut", tokens))).isNull()
            expectThat(endOf(PlatformRequest("draft", "whole", tokens))).isNotNull()
                .get { text() }.isEqualTo(expectedStream("whole", "1612,21"))
        }
    }

    @Test
    fun `the head of a stream comes from the engine that sent its events`() = PlatformFixture().run {
        fleet.engines.forEach { aborting ->
            setEngineFaults(PlatformServerFaults())
            setFaults(listOf(aborting), PlatformServerFaults(abortAfterEvents = 0))
            val name = aborting.endpoint.name.text
            val response = endOf(PlatformRequest("follow", "after-$name", tokens))
            expectThat(response).isNotNull().get { headers.get(PlatformHeaders.ENDPOINT) }.isNotEqualTo(name)
        }
    }

    private companion object {
        const val TIME_LIMIT_MILLISECONDS = 3_000L
    }
}
