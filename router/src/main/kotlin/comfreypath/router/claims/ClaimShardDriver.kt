package comfreypath.router.claims

import com.github.michaelbull.result.fold
import comfreypath.coordination.claims.ClaimOperation
import comfreypath.coordination.claims.ClaimResult
import comfreypath.coordination.claims.ClaimShard
import comfreypath.coordination.claims.ClaimShardAction
import comfreypath.coordination.claims.ClaimShardContent
import comfreypath.coordination.claims.ClaimShardEvent
import comfreypath.coordination.claims.ClaimShardState
import comfreypath.coordination.claims.LoadedShard
import comfreypath.router.RouterContext
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.ObjectStore
import comfreypath.router.store.StoreError
import comfreypath.router.store.StoredObject
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.time.Duration
import java.time.Instant

private const val IDLE_EXPIRY_SECONDS = 5L

/** Executes the actions of a [ClaimShard] for one shard: reads and writes its object, and completes operations. */
internal class ClaimShardDriver(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val shard: ClaimShard,
    private val name: String,
) {
    private var state = ClaimShardState()
    private val waiters = HashMap<ClaimOperation, MutableList<CompletableDeferred<ClaimResult>>>()
    private var lastUsedAt: Instant = context.now()

    /** True when no operation is waiting and the shard was not used recently, so its cached state can be dropped. */
    val idle: Boolean
        get() = waiters.isEmpty() && state.call == null && context.now() > lastUsedAt + IDLE_EXPIRY

    /** True while operations are waiting for the store. */
    val busy: Boolean get() = waiters.isNotEmpty()

    /** Submits [operation] to the shard and waits for its result. */
    suspend fun submit(operation: ClaimOperation): ClaimResult {
        val result = CompletableDeferred<ClaimResult>()
        waiters.getOrPut(operation) { mutableListOf() } += result
        lastUsedAt = context.now()
        step(ClaimShardEvent.Submitted(operation))
        return result.await()
    }

    /** Advances the shard to the current time. */
    fun tick() = step(ClaimShardEvent.Tick)

    private fun step(event: ClaimShardEvent) {
        val next = shard.step(state, event, context.now())
        state = next.state
        next.actions.forEach { action ->
            when (action) {
                is ClaimShardAction.Complete -> complete(action)
                is ClaimShardAction.Read -> call(ClaimShardEvent.ReadFailed) { read() }
                is ClaimShardAction.Write ->
                    call(ClaimShardEvent.WriteNotConfirmed(conflict = false)) { write(action) }
            }
        }
    }

    private fun complete(action: ClaimShardAction.Complete) {
        waiters.remove(action.operation)?.forEach { it.complete(action.result) }
    }

    /** Calls the store in the background; a call that fails unexpectedly ends with [failure], and is logged. */
    private fun call(failure: ClaimShardEvent, storeCall: suspend () -> ClaimShardEvent) {
        context.scope.launch(CoroutineName("call claim shard")) {
            var event = failure
            try {
                event = storeCall()
            } finally {
                if (isActive) step(event)
            }
        }
    }

    private suspend fun read(): ClaimShardEvent = store.read(ObjectKinds.CLAIMS, name).fold(
        success = { stored -> toLoadedShard(stored)?.let { ClaimShardEvent.ReadDone(it) } ?: failRead() },
        failure = { ClaimShardEvent.ReadFailed },
    )

    private fun failRead(): ClaimShardEvent {
        context.log.record("claims_unreadable", "shard" to name)
        return ClaimShardEvent.ReadFailed
    }

    private fun toLoadedShard(stored: StoredObject<ClaimShardContent>?): LoadedShard? = when {
        stored == null -> LoadedShard(revision = 0, records = persistentMapOf())
        else -> stored.value.fold(
            success = { LoadedShard(stored.revision, it.records.toPersistentMap()) },
            failure = { null },
        )
    }

    private suspend fun write(action: ClaimShardAction.Write): ClaimShardEvent {
        val content = ClaimShardContent(action.records)
        val result = if (action.expectedRevision > 0) {
            store.replace(ObjectKinds.CLAIMS, name, content, action.expectedRevision)
        } else {
            store.create(ObjectKinds.CLAIMS, name, content)
        }
        return result.fold(
            success = { ClaimShardEvent.WriteDone(it.revision) },
            failure = { ClaimShardEvent.WriteNotConfirmed(conflict = it == StoreError.Conflict) },
        )
    }

    private companion object {
        val IDLE_EXPIRY: Duration = Duration.ofSeconds(IDLE_EXPIRY_SECONDS)
    }
}
