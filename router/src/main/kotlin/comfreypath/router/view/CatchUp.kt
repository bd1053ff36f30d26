package comfreypath.router.view

import comfreypath.coordination.fleet.PeerAddress
import comfreypath.router.RouterContext
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull

/** Far longer than a sound peer takes to respond. */
private const val HEDGE_DELAY_MILLISECONDS = 200L
private const val MAX_PEERS = 4

/** The delays after which the store is asked while no other peer is known. */
private const val MIN_ROUNDS = 2

/**
 * Fetches what this router lacks from the peers that have it.
 *
 * A peer that does not respond in time is not waited for: the next one is asked beside it, and the store if no other is
 * known. Which of them are slow, cut off or behind can't be told before.
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
    private val asked = LinkedHashSet<PeerAddress>()
    private val waiting = LinkedHashSet<PeerAddress>()
    private var job: Job? = null

    /** Records that [peer] has what this router lacks, and starts to fetch it unless that is under way. */
    fun offer(peer: PeerAddress) {
        if (job?.isActive == true) {
            if (peer !in asked && asked.size + waiting.size < MAX_PEERS) waiting += peer
        } else {
            asked.clear()
            waiting.clear()
            waiting += peer
            job = context.scope.launch { run() }
        }
    }

    private suspend fun run() = coroutineScope {
        var calls = emptyList<Job>()
        var rounds = 0
        var storeAsked = false
        fun exhausted() = storeAsked && waiting.isEmpty() && calls.isEmpty()
        while (isBehind() && !exhausted()) {
            val peer = waiting.firstOrNull()
            if (peer != null) {
                waiting -= peer
                asked += peer
                calls = calls + launch { fetch(peer) }
            } else if (!storeAsked && (rounds >= MIN_ROUNDS || calls.isEmpty())) {
                storeAsked = true
                calls = calls + launch { readStore() }
            }
            rounds += 1
            awaitAny(calls)
            calls = calls.filter { it.isActive }
        }
        calls.forEach { it.cancel() }
    }

    /** Waits until one of [calls] has ended, but no longer than for the delay. */
    private suspend fun awaitAny(calls: List<Job>) = withTimeoutOrNull(HEDGE_DELAY_MILLISECONDS) {
        select { calls.forEach { call -> call.onJoin { } } }
    }
}
