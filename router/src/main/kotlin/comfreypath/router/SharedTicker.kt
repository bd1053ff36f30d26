package comfreypath.router

import io.netty.channel.EventLoop
import kotlinx.coroutines.CompletableDeferred
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Resumes all tasks that wait for the next tick at the same moment, so that a router with many periodic tasks wakes up
 * only once per [interval]. Call it on [loop] only.
 */
class SharedTicker(private val loop: EventLoop, private val interval: Duration) {
    private var next: CompletableDeferred<Unit>? = null

    /** Suspends until the next tick, for at most the interval. */
    suspend fun await() = (next ?: schedule()).await()

    private fun schedule(): CompletableDeferred<Unit> {
        val tick = CompletableDeferred<Unit>()
        next = tick
        loop.schedule({ complete(tick) }, interval.toMillis(), TimeUnit.MILLISECONDS)
        return tick
    }

    private fun complete(tick: CompletableDeferred<Unit>) {
        next = null
        tick.complete(Unit)
    }
}
