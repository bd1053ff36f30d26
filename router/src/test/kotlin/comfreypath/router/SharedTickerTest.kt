package comfreypath.router

import comfreypath.transport.dispatcher
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.time.Duration

class SharedTickerTest {
    private val context = TestContext.create(MonotonicClock())

    @AfterEach
    fun stop() {
        context.loop.parent().shutdownGracefully()
    }

    private fun onLoop(test: suspend () -> Unit) = runBlocking { withContext(context.loop.dispatcher()) { test() } }

    @Test
    fun `tasks that wait for a tick resume together`() = onLoop {
        val order = mutableListOf<String>()
        val waiting = listOf("first", "second").map { name ->
            context.scope.launch {
                context.ticker.await()
                order += name
            }
        }
        waiting.forEach { it.join() }
        expectThat(order).isEqualTo(mutableListOf("first", "second"))
    }

    @Test
    fun `a tick that a busy loop could not run counts as overdue`() = onLoop {
        val waiting = context.scope.launch { context.ticker.await() }
        yield()
        expectThat(context.ticker.overdue()).isEqualTo(Duration.ZERO)
        Thread.sleep(BUSY_MILLISECONDS)
        expectThat(context.ticker.overdue()).isGreaterThan(Duration.ofMillis(BUSY_MILLISECONDS / 2))
        waiting.join()
        expectThat(context.ticker.overdue()).isEqualTo(Duration.ZERO)
    }

    private companion object {
        const val BUSY_MILLISECONDS = 400L
    }
}
