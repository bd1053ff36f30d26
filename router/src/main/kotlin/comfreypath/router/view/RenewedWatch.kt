package comfreypath.router.view

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import comfreypath.router.RouterContext
import comfreypath.router.store.ObjectChanges
import comfreypath.router.store.ObjectKind
import comfreypath.router.store.ObjectStore
import comfreypath.router.store.StoreError
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import java.time.Duration
import java.time.Instant

/** The wait of the second call: short, so that its response tells soon whether the store is there. */
private const val RENEWAL_WAIT_MILLISECONDS = 100L

/** What a watch returned that was sent at [sentAt]. */
internal class WatchResponse<T : Any>(val result: Result<ObjectChanges<T>, StoreError>, val sentAt: Instant) {
    /** True if another call could not tell more. */
    val conclusive: Boolean get() = result.fold({ true }, { it == StoreError.HistoryGone })
}

/**
 * A watch that is made once more, on a new connection, when its response is overdue or its connection is suspected to
 * be silent. The first call goes on, since the store may only be slow; the first response that tells something counts.
 *
 * @property silence the time after the end of the wait after which the response is overdue
 * @property onOverdue called when the response is overdue
 */
internal class RenewedWatch<T : Any>(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val kind: ObjectKind<T>,
    private val silence: Duration,
    private val onOverdue: () -> Unit,
) {
    private var suspicion: CompletableDeferred<Unit>? = null

    /** Makes the call in progress once more, because another connection to the store is silent. */
    fun suspect() {
        suspicion?.complete(Unit)
    }

    /** Waits up to [maxWait] for changes after the revision [from]. */
    suspend fun await(from: Long, maxWait: Duration): WatchResponse<T> = coroutineScope {
        val suspected = CompletableDeferred<Unit>().also { suspicion = it }
        val first = async { call(from, maxWait) }
        val response = select {
            first.onAwait { it }
            suspected.onAwait { null }
            onTimeout(maxWait.plus(silence).toMillis()) { null }
        } ?: renew(first, from, overdue = !suspected.isCompleted)
        coroutineContext.cancelChildren()
        response
    }

    private suspend fun renew(
        first: Deferred<WatchResponse<T>>,
        from: Long,
        overdue: Boolean,
    ): WatchResponse<T> = coroutineScope {
        context.log.record("watch_renewed", "kind" to kind.label, "overdue" to overdue)
        store.discardIdleConnections()
        if (overdue) onOverdue()
        val second = async { call(from, Duration.ofMillis(RENEWAL_WAIT_MILLISECONDS)) }
        val response = select {
            first.onAwait { if (it.conclusive) it else second.await() }
            second.onAwait { if (it.conclusive) it else first.await() }
        }
        coroutineContext.cancelChildren()
        response
    }

    private suspend fun call(from: Long, maxWait: Duration): WatchResponse<T> {
        val sentAt = context.now()
        return WatchResponse(store.watch(kind, from, maxWait), sentAt)
    }
}
