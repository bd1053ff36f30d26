package comfreypath.router

import io.netty.channel.EventLoop
import kotlinx.coroutines.CompletableDeferred
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import java.util.concurrent.TimeUnit

/**
 * Resumes all tasks that wait for the next tick at the same moment, so that a router with many periodic tasks wakes up
 * only once per [interval]. Call it on [loop] only.
 */
class SharedTicker(
    private val loop: EventLoop,
    private val interval: Duration,
    private val clock: InstantSource,
) {
    private var next: CompletableDeferred<Unit>? = null
    private var dueAt = Instant.MAX

    /** Suspends until the next tick, for at most the interval. */
    suspend fun await() = (next ?: schedule()).await()

    /**
     * How long the loop has been busy with other events since the next tick was due; zero if it is not yet due.
     *
     * What the loop reads now may have waited for that long.
     */
    fun overdue(): Duration {
        val now = clock.instant()
        return if (now > dueAt) Duration.between(dueAt, now) else Duration.ZERO
    }

    private fun schedule(): CompletableDeferred<Unit> {
        val tick = CompletableDeferred<Unit>()
        next = tick
        dueAt = clock.instant() + interval
        loop.schedule({ complete(tick) }, interval.toMillis(), TimeUnit.MILLISECONDS)
        return tick
    }

    private fun complete(tick: CompletableDeferred<Unit>) {
        next = null
        dueAt = Instant.MAX
        tick.complete(Unit)
    }
}
