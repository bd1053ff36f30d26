package comfreypath.daemon

import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.rollout.RolloutBounds
import comfreypath.coordination.routing.Rollout
import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformLayout
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.standins.PlatformServerFaults
import comfreypath.standins.StoreFaults
import comfreypath.transport.dispatcher
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.time.Duration

private const val ROUTERS = 2
private const val CALLERS_PER_ROUTER = 2
private const val PAUSE_MILLISECONDS = 5L
private const val STOP_NOTICE_MILLISECONDS = 200L

class RolloutTest {
    private val model = ServiceName(PlatformLayout.MODEL_SERVICE)
    private val target = VersionName("v2")
    private val tokens = "1612,70"

    private fun order(seconds: Long) =
        Rollout(model, target, Duration.ofSeconds(seconds), state = null, stateTarget = null)

    /** Runs [test] while callers send requests to all routers. */
    private suspend fun PlatformFixture.underLoad(test: suspend () -> Unit) = coroutineScope {
        val callers = (0 until ROUTERS * CALLERS_PER_ROUTER).map { caller ->
            launch {
                var number = 0
                while (isActive) {
                    call(PlatformRequest("draft", "c$caller-${number++}", tokens), caller % ROUTERS)
                    delay(PAUSE_MILLISECONDS)
                }
            }
        }
        test()
        callers.forEach { it.cancel() }
    }

    private suspend fun received(servers: List<PlatformFleet.RunningServer>): Int = servers.sumOf { running ->
        withContext(running.loop.dispatcher()) { running.server.receivedRequests.size }
    }

    @Test
    fun `a slow version is rolled back, not completed`() = PlatformFixture(routers = ROUTERS).run {
        underLoad {
            delay(1_000)
            val old = fleet.engines.toList()
            val before = received(old)
            val added = List(2) { fleet.addEngine(target) }
            setFaults(added, PlatformServerFaults(eventMilliseconds = 40))
            fleet.storeAdmin.orderRollout(order(seconds = 15))
            eventually("the rollback") { fleet.storeAdmin.rolloutState(model) == "rolled_back" }
            delay(STOP_NOTICE_MILLISECONDS)
            val canaries = received(added)
            val requests = received(old) - before + canaries
            expectThat(canaries).isGreaterThan(0)
            expectThat(canaries.toDouble())
                .isLessThanOrEqualTo(RolloutBounds().share * requests + RolloutBounds().slack)
            delay(1_000)
            expectThat(received(added)).isEqualTo(canaries)
        }
    }

    @Test
    fun `a good version is completed and gets all requests`() = PlatformFixture(routers = ROUTERS).run {
        underLoad {
            delay(1_000)
            val old = fleet.engines.toList()
            val added = List(2) { fleet.addEngine(target) }
            fleet.storeAdmin.orderRollout(order(seconds = 5))
            eventually("the completion") { fleet.storeAdmin.rolloutState(model) == "completed" }
            delay(STOP_NOTICE_MILLISECONDS)
            val atOld = received(old)
            val atNew = received(added)
            delay(500)
            expectThat(received(old)).isEqualTo(atOld)
            expectThat(received(added)).isGreaterThan(atNew)
        }
    }

    @Test
    fun `a failing version gets no more requests while the store is away`() = PlatformFixture(routers = ROUTERS).run {
        underLoad {
            delay(1_000)
            val added = List(2) { fleet.addEngine(target) }
            fleet.storeAdmin.orderRollout(order(seconds = 15))
            eventually("the first canary") { received(added) > 0 }
            setStoreFaults(StoreFaults(outage = true))
            setFaults(added, PlatformServerFaults(failing = true))
            delay(5_000)
            val canaries = received(added)
            delay(1_000)
            expectThat(received(added)).isEqualTo(canaries)
            setStoreFaults(StoreFaults())
            eventually("the rollback") { fleet.storeAdmin.rolloutState(model) == "rolled_back" }
        }
    }
}
