package comfreypath.router

import comfreypath.transport.dispatcher
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

private const val PAUSE_MILLISECONDS = 20L
private const val LIMIT_MILLISECONDS = 5_000L

class BackgroundTasksTest {
    private val context = TestContext.create(MonotonicClock())

    @AfterEach
    fun stop() {
        context.loop.parent().shutdownGracefully()
    }

    private fun onLoop(test: suspend () -> Unit) = runBlocking {
        withTimeout(LIMIT_MILLISECONDS) { withContext(context.loop.dispatcher()) { test() } }
    }

    private fun failures(): Double = context.metrics.taskFailures.labelValues("task").get()

    @Test
    fun `a pass that fails is counted, and the next one starts after the pause`() = onLoop {
        val startedAt = mutableListOf<Long>()
        context.launchUntil("task", { PAUSE_MILLISECONDS }) {
            startedAt += System.nanoTime()
            check(startedAt.size != 2) { "the second pass fails" }
            context.ticker.await()
            startedAt.size == 4
        }.join()
        expectThat(startedAt).hasSize(4)
        expectThat(startedAt[2] - startedAt[1]).get { this >= PAUSE_MILLISECONDS * 1_000_000 }.isEqualTo(true)
        expectThat(failures()).isEqualTo(1.0)
    }

    @Test
    fun `passes that succeed run in one coroutine`() = onLoop {
        val coroutines = mutableSetOf<Job>()
        var passes = 0
        context.launchUntil("task") {
            coroutines += currentCoroutineContext().job
            passes += 1
            context.ticker.await()
            passes == 3
        }.join()
        expectThat(coroutines).hasSize(1)
        expectThat(failures()).isEqualTo(0.0)
    }
}
