package comfreypath.daemon

import com.github.michaelbull.result.fold
import comfreypath.daemon.demo.PlatformCaller
import comfreypath.daemon.demo.PlatformRequest
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isContainedIn
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

/** Guards against a process that acts, after a pause, on what had been allowed before it. */
class PausedProcessTest {
    private var requestNumber = 0

    private class Fleet(val fixture: PlatformFixture, val process: RouterProcess) {
        private val caller = PlatformCaller(fixture.fleet.callerLoop)

        suspend fun status(id: String, key: String = "key-1", route: String = "history"): Int? =
            caller.call(process.callerAddress, PlatformRequest(route, id, key = key)).fold({ it.status }, { null })
    }

    private fun withProcess(test: suspend Fleet.() -> Unit) = PlatformFixture().run {
        RouterProcess(fleet.storeAddress, settings = mapOf("revocation-bound" to "3s")).use { process ->
            val processFleet = Fleet(this, process)
            eventually("the process serves") { processFleet.status("probe-${requestNumber++}", "key-2") == 200 }
            processFleet.test()
        }
    }

    @Test
    fun `requests that wait in a paused process do not run with a key that was revoked meanwhile`() = withProcess {
        process.pause()
        fixture.fleet.storeAdmin.updateConfiguration { configuration ->
            configuration.copy(teams = configuration.teams.orEmpty().take(1).toImmutableList())
        }
        delay(PAUSE_MILLISECONDS)
        val ids = List(REQUESTS) { "late-$it" }
        coroutineScope {
            val late = ids.map { async { status(it, "key-2") } }
            delay(SETTLING_MILLISECONDS)
            process.resume()
            expectThat(late.awaitAll()).all { isNotNull().isContainedIn(listOf(401, 503)) }
        }
        expectThat(ids.flatMap { fixture.requestsSeen(it) }).isEmpty()
        fixture.eventually("the keys that are left are accepted") { status("after-${requestNumber++}") == 200 }
        expectThat(status("revoked", "key-2")).isEqualTo(401)
    }

    @Test
    fun `a process that was paused follows the changes of its pause within a second`() = withProcess {
        process.pause()
        val evacuated = fixture.fleet.plainServers.first()
        fixture.fleet.storeAdmin.setEvacuated(evacuated.endpoint.dataCentre, evacuated = true)
        fixture.fleet.storeAdmin.updateConfiguration { configuration ->
            configuration.copy(routes = configuration.routes.filterNot { it.name == "open" }.toImmutableList())
        }
        delay(PAUSE_MILLISECONDS)
        process.resume()
        delay(CATCH_UP_MILLISECONDS)
        val ids = List(REQUESTS) { "after-$it" }
        expectThat(ids.map { status(it) }).all { isEqualTo(200) }
        expectThat(evacuated.server.receivedRequests.filter { it.id in ids }).isEmpty()
        expectThat(status("removed", route = "open")).isEqualTo(404)
    }

    private companion object {
        /** Longer than the bound on revocations. */
        const val PAUSE_MILLISECONDS = 3_500L
        const val SETTLING_MILLISECONDS = 200L
        const val CATCH_UP_MILLISECONDS = 1_000L
        const val REQUESTS = 8
    }
}
