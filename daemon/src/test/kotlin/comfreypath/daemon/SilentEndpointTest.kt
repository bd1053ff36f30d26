package comfreypath.daemon

import comfreypath.coordination.limits.RetryBounds
import comfreypath.coordination.model.EndpointName
import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import comfreypath.standins.PlatformServerFaults
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.time.Duration

class SilentEndpointTest {
    private val tokens = "1612,70"

    private fun PlatformFixture.otherThan(name: EndpointName): List<PlatformFleet.RunningServer> =
        fleet.engines.filter { it.endpoint.name != name }

    /** Makes the first engine the only one that can take requests. */
    private suspend fun PlatformFixture.removeOthers() {
        val first = fleet.engines.first()
        otherThan(first.endpoint.name).forEach { fleet.storeAdmin.deregister(it.endpoint) }
        var probes = 0
        eventually("all requests at the first engine") {
            val ids = (0 until 4).map { "probe-${probes++}" }
            ids.all { id ->
                val response = call(PlatformRequest("draft", id, "8,7", headers = uniquePrompt(id)))
                response?.headers?.get(PlatformHeaders.ENDPOINT) == first.endpoint.name.text
            }
        }
    }

    private fun uniquePrompt(id: String) =
        mapOf(PlatformHeaders.PROMPT_PARTS to "${Integer.toHexString(id.hashCode())}:100,1:1")

    @Test
    fun `a stream goes on at its engine after a second of silence if there is no other`() = PlatformFixture().run {
        removeOthers()
        listOf(0, 3).forEach { events ->
            setEngineFaults(PlatformServerFaults(pauseAfterEvents = events, pauseMilliseconds = 1_300))
            expectThat(call(PlatformRequest("follow", "s$events", tokens))).isNotNull()
                .get { text() }.isEqualTo(expectedStream("s$events", tokens))
            expectThat(requestsSeen("s$events").size).isEqualTo(1)
        }
    }

    @Test
    fun `an answer comes from its server after a second of silence if there is no other`() = PlatformFixture().run {
        fleet.storeAdmin.deregister(fleet.plainServers.last().endpoint)
        val first = fleet.plainServers.first()
        setFaults(listOf(first), PlatformServerFaults(workMilliseconds = 1_300))
        setFaults(fleet.plainServers - first, PlatformServerFaults(refuse = true))
        expectThat(call(PlatformRequest("history", "h1"))?.status).isEqualTo(200)
        expectThat(requestsSeen("h1").filter { it.ran }.size).isEqualTo(1)
    }

    @Test
    fun `a stream returns to its silent engine if the others refuse it`() = PlatformFixture().run {
        val (first, second) = fleet.engines
        setEngineFaults(PlatformServerFaults(pauseAfterEvents = 3, pauseMilliseconds = 1_300))
        coroutineScope {
            val stream = async { call(PlatformRequest("follow", "s1", tokens)) }
            eventually("the stream to begin") { requestsSeen("s1").isNotEmpty() }
            val silent = listOf(first, second).single { running ->
                running.server.receivedRequests.any { it.id == "s1" }
            }
            setFaults(otherThan(silent.endpoint.name), PlatformServerFaults(refuse = true))
            expectThat(stream.await()).isNotNull().get { text() }.isEqualTo(expectedStream("s1", tokens))
            val runs = requestsSeen("s1").filter { it.ran }
            expectThat(runs.map { it.request.headers.get(PlatformHeaders.LAST_EVENT_ID) }).containsExactly(null, "3")
        }
    }

    @Test
    fun `a stream that its second engine refuses returns to the silent one on an exhausted retry budget`() =
        PlatformFixture { it.copy(bounds = it.bounds.copy(retries = ONE_RETRY)) }.run {
            setEngineFaults(PlatformServerFaults(pauseAfterEvents = 3, pauseMilliseconds = 1_300))
            coroutineScope {
                val stream = async { call(PlatformRequest("follow", "s1", tokens)) }
                eventually("the stream to begin") { requestsSeen("s1").isNotEmpty() }
                val silent = fleet.engines.single { running -> running.server.receivedRequests.any { it.id == "s1" } }
                setFaults(otherThan(silent.endpoint.name), PlatformServerFaults(refuse = true))
                expectThat(stream.await()).isNotNull().get { text() }.isEqualTo(expectedStream("s1", tokens))
                expectThat(requestsSeen("s1").size).isEqualTo(3)
            }
        }

    /** The limit on refusals ended it before its way back. */
    @Test
    fun `a stream returns to its silent engine after any number of refusals by others`() =
        PlatformFixture(engines = 7).run {
            setEngineFaults(PlatformServerFaults(pauseAfterEvents = 3, pauseMilliseconds = 1_300))
            coroutineScope {
                val stream = async { call(PlatformRequest("follow", "s1", tokens)) }
                eventually("the stream to begin") { requestsSeen("s1").isNotEmpty() }
                val silent = fleet.engines.single { running -> running.server.receivedRequests.any { it.id == "s1" } }
                setFaults(otherThan(silent.endpoint.name), PlatformServerFaults(refuse = true))
                expectThat(stream.await()).isNotNull().get { text() }.isEqualTo(expectedStream("s1", tokens))
                expectThat(requestsSeen("s1").count { it.ran }).isEqualTo(2)
            }
        }

    @Test
    fun `a stream leaves a dead engine in time`() = PlatformFixture().run {
        val dead = fleet.engines.first()
        setFaults(listOf(dead), PlatformServerFaults(silent = true))
        coroutineScope {
            val ids = (1..6).map { "s$it" }
            val responses = ids.map { id ->
                async { call(PlatformRequest("follow", id, tokens, headers = uniquePrompt(id))) }
            }.awaitAll()
            expectThat(responses).all { isNotNull().get { status }.isEqualTo(200) }
        }
    }

    private companion object {
        /** Allows one retry, and no other one for an hour. */
        val ONE_RETRY = RetryBounds(share = 0.0, slack = 2.5, window = Duration.ofHours(1))
    }
}
