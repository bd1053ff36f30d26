package comfreypath.daemon

import comfreypath.coordination.routing.Configuration
import comfreypath.daemon.demo.PlatformLayout
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.standins.PlatformServerFaults
import comfreypath.transport.ClientResponse
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isContainedIn
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import java.time.Duration

class ConfigurationChangeTest {
    private val tokens = "1612,210"

    private val changes = listOf<(Configuration) -> Configuration>(
        { it.copy(routes = it.routes.map { route -> route.copy(timeout = SHORT_TIMEOUT) }.toImmutableList()) },
        { it.copy(routes = it.routes.filter { route -> route.name != "history" }.toImmutableList()) },
        { it.copy(teams = it.teams.orEmpty().take(1).toImmutableList()) },
        { it.copy(routes = it.routes.map { route -> route.copy(maxAttempts = 1) }.toImmutableList()) },
        { it.copy(routes = it.routes.filter { route -> route.name == "open" }.toImmutableList()) },
    )

    private fun request(number: Int): PlatformRequest {
        val key = if (number % 3 == 0) "key-2" else "key-1"
        return when (number % 4) {
            0 -> PlatformRequest("draft", "c$number", tokens, key = key)
            1 -> PlatformRequest("follow", "c$number", tokens, key = key)
            2 -> PlatformRequest("book", "c$number", key = key, body = ByteArray(40_000))
            else -> PlatformRequest("history", "c$number", key = key)
        }
    }

    /** An allowed end: the whole answer, or a refusal of a request that no server has run. */
    private suspend fun PlatformFixture.expectEnded(id: String, response: ClientResponse?) {
        expectThat(response).describedAs("the response to $id").isNotNull()
            .get { status }.isContainedIn(listOf(200, 401, 404, 503))
        if (response?.status != 200) {
            expectThat(requestsSeen(id).count { it.ran }).describedAs("runs of refused $id").isEqualTo(0)
        }
    }

    @Test
    fun `every request ends answered or refused while configurations change and servers fall silent`() =
        PlatformFixture(routers = 2).run {
            setEngineFaults(PlatformServerFaults(pauseAfterEvents = 2, pauseMilliseconds = 1_200))
            setPlainServerFaults(PlatformServerFaults(workMilliseconds = 1_200))
            val original = PlatformLayout.configuration()
            coroutineScope {
                val operator = launch {
                    var number = 0
                    while (true) {
                        fleet.storeAdmin.updateConfiguration { current ->
                            changes[number++ % changes.size](original).copy(version = current.version)
                        }
                        delay(CHANGE_INTERVAL_MILLISECONDS)
                        fleet.storeAdmin.updateConfiguration { current -> original.copy(version = current.version) }
                        delay(CHANGE_INTERVAL_MILLISECONDS)
                    }
                }
                val answered = (0 until CALLERS).map { caller ->
                    async {
                        (0 until REQUESTS_PER_CALLER).count { number ->
                            val request = request(caller + CALLERS * number)
                            val response = call(request, router = caller % 2)
                            expectEnded(request.id, response)
                            response?.status == 200
                        }
                    }
                }.awaitAll().sum()
                operator.cancel()
                expectThat(answered).isGreaterThan(CALLERS)
            }
        }

    private companion object {
        val SHORT_TIMEOUT: Duration = Duration.ofMillis(3_500)
        const val CHANGE_INTERVAL_MILLISECONDS = 120L
        const val CALLERS = 12
        const val REQUESTS_PER_CALLER = 3
    }
}
