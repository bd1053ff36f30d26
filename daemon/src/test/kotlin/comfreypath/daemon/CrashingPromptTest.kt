package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import comfreypath.standins.PlatformServerFaults
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

private const val ROUTERS = 3
private const val DEADLY_REQUESTS = 12

/** The crashes after which requests with the part must stop, and how many may still reach servers. */
private const val MAX_DEADLY_ARRIVALS = 5 + 3

/** Guards against requests of one kind that crash one server after the other. */
class CrashingPromptTest {
    private val shared = "5c1e07a2:512"

    private fun deadly(id: String) = request(id, "$shared,dead:1000,${Integer.toHexString(id.hashCode())}:100")

    private fun request(id: String, parts: String) =
        PlatformRequest("draft", id, "1612,70", headers = mapOf(PlatformHeaders.PROMPT_PARTS to parts))

    private suspend fun PlatformFixture.expectSoundAnswered(id: String, router: Int) {
        var number = 0
        eventually("a sound request through router $router") {
            number += 1
            call(request("$id-$number", "$shared,91bd3f06:1000,$number:100"), router)?.status == 200
        }
    }

    @Test
    fun `requests of one kind no longer crash one server after the other`() = PlatformFixture(ROUTERS).run {
        setEngineFaults(PlatformServerFaults(crashingPart = "dead"))
        val ids = (1..DEADLY_REQUESTS).map { "deadly-$it" }
        ids.forEachIndexed { number, id ->
            call(deadly(id), number % ROUTERS)
            expectSoundAnswered("sound-$number", (number + 1) % ROUTERS)
        }
        val lateIds = ArrayList<String>()
        repeat(ROUTERS) { router ->
            // One of these requests may be the trial of the part.
            eventually("a refusal with a retry-after by router $router") {
                lateIds += "late-$router-${lateIds.size}"
                val refused = call(deadly(lateIds.last()), router)
                refused?.status == 503 && refused.headers.contains("Retry-After")
            }
            expectSoundAnswered("last-$router", router)
        }
        expectThat((ids + lateIds).sumOf { requestsSeen(it).size }).isLessThanOrEqualTo(MAX_DEADLY_ARRIVALS)
    }

    @Test
    fun `an id that crashes servers does no harm as the last part of a prompt`() = PlatformFixture(ROUTERS).run {
        setEngineFaults(PlatformServerFaults(crashingPart = "dead"))
        repeat(ROUTERS) { router ->
            val response = call(request("last-$router", "$shared,91bd3f06:1000,dead:100"), router)
            expectThat(response?.status).isEqualTo(200)
        }
    }
}
