package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import comfreypath.standins.PlatformServerFaults
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
