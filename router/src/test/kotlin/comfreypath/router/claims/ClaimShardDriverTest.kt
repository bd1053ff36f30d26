package comfreypath.router.claims

import comfreypath.coordination.claims.AttemptId
import comfreypath.coordination.claims.ClaimKey
import comfreypath.coordination.claims.ClaimOperation
import comfreypath.coordination.claims.ClaimResult
import comfreypath.coordination.claims.ClaimShard
import comfreypath.coordination.model.TeamName
import comfreypath.router.TestContext
import comfreypath.router.store.InMemoryStore
import comfreypath.transport.dispatcher
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

class ClaimShardDriverTest {
    private val context = TestContext.create()
    private val store = InMemoryStore()
    private val key = ClaimKey(TeamName("team-1"), "once")

    @AfterEach
    fun stop() {
        context.scope.cancel()
        context.loop.parent().shutdownGracefully()
    }

    private fun onLoop(test: suspend CoroutineScope.() -> Unit) = runBlocking(context.loop.dispatcher()) {
        withTimeout(TIMEOUT_MILLISECONDS) { coroutineScope { test() } }
    }

    /** A driver whose shard advances until the test ends. */
    private fun driver() = ClaimShardDriver(context, store, ClaimShard(), SHARD).also { driver ->
        context.scope.launch {
            while (true) {
                delay(TICK_MILLISECONDS)
                driver.tick()
            }
        }
    }

    private suspend fun ClaimShardDriver.claim(attempt: String) =
        submit(ClaimOperation.Claim(key, AttemptId(attempt), fingerprint = 7))

    /** Holds the first write at the place that [hold] sets, and returns what releases it. */
    private fun holdFirst(hold: (suspend () -> Unit) -> Unit): CompletableDeferred<Unit> {
        val released = CompletableDeferred<Unit>()
        var first = true
        hold {
            if (first) {
                first = false
                released.await()
            }
        }
        return released
    }

    @Test
    fun `a holder whose write was delayed past that of its successor does not grant the key too`() = onLoop {
        val released = holdFirst { store.beforeWrite = it }
        val delayed = async { driver().claim("first") }
        delay(PAUSE_MILLISECONDS)
        expectThat(driver().claim("second")).isEqualTo(ClaimResult.Granted)
        released.complete(Unit)
        expectThat(delayed.await()).isA<ClaimResult.Taken>()
        expectThat(store.writes).isEqualTo(1)
    }

    @Test
    fun `a successor does not grant the key while the write of the holder before has taken effect unnoticed`() =
        onLoop {
            val released = holdFirst { store.afterWrite = it }
            val unnoticed = async { driver().claim("first") }
            delay(PAUSE_MILLISECONDS)
            expectThat(driver().claim("second")).isA<ClaimResult.Taken>()
            released.complete(Unit)
            expectThat(unnoticed.await()).isEqualTo(ClaimResult.Granted)
            expectThat(store.writes).isEqualTo(1)
        }

    /** The shard waited for a call that had ended, and refused all claims until the process was started again. */
    @Test
    fun `a call of the store that fails unexpectedly does not end a shard's work`() = onLoop {
        val failures = listOf<((suspend () -> Unit) -> Unit)>(
            { store.beforeRead = it },
            { store.beforeWrite = it },
            { store.afterWrite = it },
        )
        failures.forEachIndexed { number, place ->
            val driver = driver()
            var failed = false
            place {
                if (!failed) {
                    failed = true
                    error("the call fails")
                }
            }
            val operation = ClaimOperation.Claim(
                key.copy(idempotencyKey = "key-$number"),
                AttemptId("first"),
                fingerprint = 7
            )
            expectThat(driver.submit(operation)).describedAs("failure $number").isEqualTo(ClaimResult.Granted)
        }
    }

    private companion object {
        const val SHARD = "shard-0"
        const val TICK_MILLISECONDS = 20L
        const val PAUSE_MILLISECONDS = 300L
        const val TIMEOUT_MILLISECONDS = 10_000L
    }
}
