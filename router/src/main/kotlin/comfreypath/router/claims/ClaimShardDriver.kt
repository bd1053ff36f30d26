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
import kotlinx.coroutines.launch
import java.time.Duration
import java.time.Instant

private const val FORGET_SECONDS = 5L

/** Carries out what a [ClaimShard] decides for one shard: reads and writes its object, and answers those who ask. */
internal class ClaimShardDriver(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val shard: ClaimShard,
    private val name: String,
) {
    private var state = ClaimShardState()
    private val asking = HashMap<ClaimOperation, MutableList<CompletableDeferred<ClaimResult>>>()
    private var usedAt: Instant = context.now()

    /** True when nothing waits and the shard was not used lately, so that its copy can be forgotten. */
    val idle: Boolean
        get() = asking.isEmpty() && state.call == null && context.now() > usedAt + FORGET_AFTER

    /** True while operations wait for the store. */
    val busy: Boolean get() = asking.isNotEmpty()

    /** Carries the operation out and waits for its answer. */
    suspend fun submit(operation: ClaimOperation): ClaimResult {
        val answer = CompletableDeferred<ClaimResult>()
        asking.getOrPut(operation) { mutableListOf() } += answer
        usedAt = context.now()
        step(ClaimShardEvent.Submitted(operation))
        return answer.await()
    }

    /** Lets time pass. */
    fun tick() = step(ClaimShardEvent.Tick)

    private fun step(event: ClaimShardEvent) {
        val next = shard.step(state, event, context.now())
        state = next.state
        next.actions.forEach { action ->
            when (action) {
                is ClaimShardAction.Complete -> answer(action)
                is ClaimShardAction.Read -> context.scope.launch { read() }
                is ClaimShardAction.Write -> context.scope.launch { write(action) }
            }
        }
    }

    private fun answer(action: ClaimShardAction.Complete) {
        asking.remove(action.operation)?.forEach { it.complete(action.result) }
    }

    private suspend fun read() {
        store.read(ObjectKinds.CLAIMS, name).fold(
            success = { stored -> loaded(stored)?.let { step(ClaimShardEvent.ReadDone(it)) } ?: unreadable() },
            failure = { step(ClaimShardEvent.ReadFailed) },
        )
    }

    private fun unreadable() {
        context.log.record("claims_unreadable", "shard" to name)
        step(ClaimShardEvent.ReadFailed)
    }

    private fun loaded(stored: StoredObject<ClaimShardContent>?): LoadedShard? = when {
        stored == null -> LoadedShard(revision = 0, records = persistentMapOf())
        else -> stored.value.fold(
            success = { LoadedShard(stored.revision, it.records.toPersistentMap()) },
            failure = { null },
        )
    }

    private suspend fun write(action: ClaimShardAction.Write) {
        val content = ClaimShardContent(action.records)
        val written = if (action.expectedRevision > 0) {
            store.replace(ObjectKinds.CLAIMS, name, content, action.expectedRevision)
        } else {
            store.create(ObjectKinds.CLAIMS, name, content)
        }
        written.fold(
            success = { step(ClaimShardEvent.WriteDone(it.revision)) },
            failure = { step(ClaimShardEvent.WriteNotConfirmed(conflict = it == StoreError.Conflict)) },
        )
    }

    private companion object {
        val FORGET_AFTER: Duration = Duration.ofSeconds(FORGET_SECONDS)
    }
}
