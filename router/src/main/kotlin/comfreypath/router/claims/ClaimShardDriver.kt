package comfreypath.router.claims

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import comfreypath.coordination.claims.ClaimOperation
import comfreypath.coordination.claims.ClaimResult
import comfreypath.coordination.claims.ClaimShard
import comfreypath.coordination.claims.ClaimShardAction
import comfreypath.coordination.claims.ClaimShardContent
import comfreypath.coordination.claims.ClaimShardEvent
import comfreypath.coordination.claims.ClaimShardState
import comfreypath.coordination.claims.LoadedShard
import comfreypath.coordination.facts.StoreVersion
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

    /**
     * True when no operation is waiting and the shard was not used recently, so that its cached state and the claims
     * that this router has written can be dropped.
     */
    val idle: Boolean
        get() {
            val expiry = if (state.own.isEmpty) IDLE_EXPIRY else context.options.claims.ownClaimsMemory
            return waiters.isEmpty() && state.call == null && context.now() > lastUsedAt + expiry
        }

    /** True once this router's claims are known not to be missing in [era]. */
    fun restored(era: Long): Boolean = state.era >= era && !state.restoring

    /** Tells the shard of the store's [era], and whether all routers have written their claims again. */
    fun learn(era: Long, settled: Boolean) {
        if (era != state.era || settled != state.settled) {
            if (era > state.era && !state.own.isEmpty) {
                context.log.record("claims_restoring", "shard" to name, "era" to era)
            }
            step(ClaimShardEvent.EraKnown(era, settled))
        }
    }

    /** True while operations are waiting for the store. */
    val busy: Boolean get() = waiters.isNotEmpty() || state.restoring

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

    /**
     * Reads the shard's object of the current era. If there is none yet, its content is that of the latest earlier era
     * that has one.
     */
    private suspend fun read(): ClaimShardEvent {
        val era = store.era
        var found: Result<StoredObject<ClaimShardContent>?, StoreError> = Ok(null)
        val names = ClaimShardNames.toRead(name, era).iterator()
        while (found.fold({ it == null }, { false }) && names.hasNext()) {
            found = store.read(ObjectKinds.CLAIMS, names.next())
        }
        val shard = found.fold({ toLoadedShard(it, era) }, { null })
        return if (shard == null || store.era != era) ClaimShardEvent.ReadFailed else ClaimShardEvent.ReadDone(shard)
    }

    private fun toLoadedShard(stored: StoredObject<ClaimShardContent>?, era: Long): LoadedShard? {
        val current = stored?.name == ClaimShardNames.toWrite(name, era)
        val version = stored?.revision?.takeIf { current } ?: ClaimShardNames.absent(era)
        return if (stored == null) {
            LoadedShard(version, records = persistentMapOf())
        } else {
            stored.value.fold(
                success = { LoadedShard(version, it.records.toPersistentMap()) },
                failure = { null.also { context.log.record("claims_unreadable", "shard" to name) } },
            )
        }
    }

    private suspend fun write(action: ClaimShardAction.Write): ClaimShardEvent {
        val content = ClaimShardContent(action.records)
        val expected = StoreVersion(action.expectedRevision)
        val era = if (store.era == 0L) 0 else expected.era
        val objectName = ClaimShardNames.toWrite(name, era)
        val result = if (action.expectedRevision > ClaimShardNames.absent(era)) {
            store.replace(ObjectKinds.CLAIMS, objectName, content, action.expectedRevision)
        } else {
            store.create(ObjectKinds.CLAIMS, objectName, content)
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
