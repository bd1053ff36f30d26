package comfreypath.router.view

import comfreypath.coordination.fleet.PeerAddress
import comfreypath.router.RouterContext
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration
import java.time.Instant
import kotlin.random.Random

/** Far longer than a sound peer takes to respond. */
private const val HEDGE_DELAY_MILLISECONDS = 200L
private const val MAX_WAITING_PEERS = 4
private const val MAX_CALLS = 3
private const val MIN_STORE_DELAY_MILLISECONDS = 500L
private const val STORE_DELAY_SPREAD_MILLISECONDS = 500L
private const val STORE_INTERVAL_SECONDS = 2L
private const val MAX_DURATION_SECONDS = 2L

/**
 * Fetches what this router lacks from the peers that have it.
 *
 * A peer that does not respond in time is not waited for: the next one is asked beside it. Which of them are slow, cut
 * off or behind can't be told before. The store is asked if no peer has helped for a random time, since the routers of
 * a fleet may all miss the same peer, and no more often than every two seconds.
 *
 * @property isBehind whether peers still have something that this router lacks
 * @property fetch fetches the objects from a peer
 * @property readStore lists the objects in the store
 */
internal class CatchUp(
    private val context: RouterContext,
    private val isBehind: () -> Boolean,
    private val fetch: suspend (PeerAddress) -> Unit,
    private val readStore: suspend () -> Unit,
) {
    private val waiting = LinkedHashSet<PeerAddress>()
    private val active = LinkedHashMap<PeerAddress, Job>()
    private var job: Job? = null
    private var storeAskedAt = Instant.EPOCH

    /** Records that [peer] has what this router lacks, and starts to fetch it unless that is under way. */
    fun offer(peer: PeerAddress) {
        if (waiting.size < MAX_WAITING_PEERS) waiting += peer
        if (job?.isActive != true) {
            job = context.scope.launch { run() }
        }
    }

    private suspend fun run() = coroutineScope {
        val startedAt = context.now()
        val askStoreAt = startedAt + MIN_STORE_DELAY.plusMillis(Random.nextLong(STORE_DELAY_SPREAD_MILLISECONDS))
        var storeCall: Job? = null
        active.clear()
        while (isBehind() && context.now() < startedAt + MAX_DURATION) {
            active.values.removeIf { !it.isActive }
            val peer = waiting.firstOrNull { it !in active }
            if (peer != null && active.size < MAX_CALLS) {
                waiting -= peer
                active[peer] = launch { fetch(peer) }
            } else if (context.now() >= maxOf(askStoreAt, storeAskedAt + STORE_INTERVAL)) {
                storeAskedAt = context.now()
                storeCall = launch { readStore() }
            }
            awaitAny(active.values + listOfNotNull(storeCall?.takeIf { it.isActive }))
        }
        waiting.clear()
        active.values.forEach { it.cancel() }
        storeCall?.cancel()
    }

    /** Waits until one of [calls] has ended, but no longer than for the delay. */
    private suspend fun awaitAny(calls: List<Job>) {
        if (calls.isEmpty()) {
            delay(HEDGE_DELAY_MILLISECONDS)
        } else {
            withTimeoutOrNull(HEDGE_DELAY_MILLISECONDS) { select { calls.forEach { call -> call.onJoin { } } } }
        }
    }

    private companion object {
        val MIN_STORE_DELAY: Duration = Duration.ofMillis(MIN_STORE_DELAY_MILLISECONDS)
        val STORE_INTERVAL: Duration = Duration.ofSeconds(STORE_INTERVAL_SECONDS)
        val MAX_DURATION: Duration = Duration.ofSeconds(MAX_DURATION_SECONDS)
    }
}
