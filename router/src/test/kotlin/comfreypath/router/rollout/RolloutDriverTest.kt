package comfreypath.router.rollout

import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.rollout.RolloutEvent
import comfreypath.coordination.routing.Rollout
import comfreypath.coordination.routing.RolloutState
import comfreypath.router.TestContext
import comfreypath.router.store.InMemoryStore
import comfreypath.transport.dispatcher
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.time.Duration
import java.time.Instant
import java.time.InstantSource

/** Guards against two routers that both record the progress of a rollout while one takes over from the other. */
class RolloutDriverTest {
    private var now = Instant.ofEpochSecond(1_000)
    private val context = TestContext.create(InstantSource { now })
    private val store = InMemoryStore()
    private val order = Rollout(ServiceName("s"), VersionName("v2"), Duration.ofSeconds(15), null, null)
    private val tick = RolloutEvent.Tick(rank = 0, targetUsable = true)

    @AfterEach
    fun stop() {
        context.scope.cancel()
        context.loop.parent().shutdownGracefully()
    }

    private fun onLoop(test: suspend () -> Unit) = runBlocking(context.loop.dispatcher()) {
        withTimeout(TIMEOUT_MILLISECONDS) { test() }
    }

    private val target = RolloutObject(NAME) { emptySet() }

    private fun driver(revision: Long) = RolloutDriver(context, store, target, order, revision) {}

    private val recorded get() = checkNotNull(store.find<Rollout>(NAME)).value.component1()

    /** Ticks [drivers] and advances the time until [condition] is true. */
    private suspend fun advanceUntil(drivers: List<RolloutDriver>, condition: () -> Boolean) {
        while (!condition()) {
            drivers.forEach { it.step(tick) }
            now = now.plusMillis(STEP_MILLISECONDS)
            delay(1)
        }
    }

    @Test
    fun `of two routers that record the progress at once, one does`() = onLoop {
        val revision = store.put(NAME, order)
        val drivers = List(2) { driver(revision) }
        advanceUntil(drivers) { drivers.all { it.progress.recorded == RolloutState.RUNNING } }
        expectThat(store.writes).isEqualTo(1)
        now = now.plusSeconds(15)
        advanceUntil(drivers) { drivers.all { it.progress.recorded == RolloutState.COMPLETED } }
        repeat(STEPS) {
            drivers.forEach { it.step(tick) }
            now = now.plusMillis(STEP_MILLISECONDS)
            delay(1)
        }
        expectThat(store.writes).isEqualTo(2)
    }

    @Test
    fun `a write that was delayed past a new order does not record the progress of the old one`() = onLoop {
        val driver = driver(store.put(NAME, order))
        val released = CompletableDeferred<Unit>()
        store.beforeWrite = { released.await() }
        driver.step(tick)
        delay(1)
        val next = order.copy(target = VersionName("v3"))
        val revision = store.put(NAME, next)
        driver.step(RolloutEvent.OrderReceived(next, revision))
        released.complete(Unit)
        delay(STEP_MILLISECONDS)
        expectThat(store.writes).isEqualTo(0)
        expectThat(recorded?.state).isNull()
        advanceUntil(listOf(driver)) { recorded?.state == RolloutState.RUNNING }
        expectThat(recorded?.stateTarget).isEqualTo(VersionName("v3"))
    }

    /** The driver waited for a call that had ended, and recorded nothing until the process was started again. */
    @Test
    fun `a call of the store that fails unexpectedly does not end the recording`() = onLoop {
        val driver = driver(store.put(NAME, order))
        val failed = mutableSetOf<String>()
        fun failOnce(place: String): suspend () -> Unit = { if (failed.add(place)) error("the call fails") }
        store.beforeWrite = failOnce("write")
        store.beforeRead = failOnce("read")
        advanceUntil(listOf(driver)) { driver.progress.recorded == RolloutState.RUNNING }
        expectThat(failed.size).isEqualTo(2)
        expectThat(store.writes).isEqualTo(1)
    }

    private companion object {
        const val NAME = "s"
        const val STEP_MILLISECONDS = 50L
        const val STEPS = 20
        const val TIMEOUT_MILLISECONDS = 5_000L
    }
}
