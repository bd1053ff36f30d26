package comfreypath.coordination.claims

import comfreypath.coordination.Step
import comfreypath.coordination.facts.StoreVersion
import kotlinx.collections.immutable.toPersistentList
import java.time.Instant

/**
 * Grants each key to at most one attempt, and batches many operations into one conditional write.
 *
 * Safety depends only on the conditional write: a claim is granted only if a write that contains it is known to have
 * taken effect, or a read has returned it. Any number of routers may work on a shard concurrently; having one holder
 * per shard only makes conflicts rare. After a write whose outcome is unknown, the shard is read and compared before
 * it is written again.
 *
 * If the store comes back from a copy, the shard is read anew, and what this router has written lately and the copy
 * lacks is added and written again. Until all routers have done so, a key without a claim is not granted.
 */
class ClaimShard(private val options: ClaimShardOptions = ClaimShardOptions()) {
    private val transitions = ClaimTransitions(options)

    /** Returns the state after [event] and the actions to perform. */
    fun step(state: ClaimShardState, event: ClaimShardEvent, now: Instant): Step<ClaimShardState, ClaimShardAction> =
        when (event) {
            is ClaimShardEvent.Submitted -> proceed(withSubmitted(state, event.operation, now), now)
            is ClaimShardEvent.ReadDone -> proceed(readDone(state, event.shard, now), now)
            is ClaimShardEvent.ReadFailed -> proceed(withFailedRead(state, now), now)
            is ClaimShardEvent.WriteDone -> writeDone(state, event.revision, now)
            is ClaimShardEvent.WriteNotConfirmed -> proceed(withUnconfirmedWrite(state, event.conflict, now), now)
            is ClaimShardEvent.EraKnown -> proceed(withEra(state, event), now)
            is ClaimShardEvent.Tick -> proceed(state, now)
        }

    private fun withEra(state: ClaimShardState, event: ClaimShardEvent.EraKnown): ClaimShardState =
        if (event.era > state.era) {
            state.copy(era = event.era, settled = event.settled, loaded = null, restoring = !state.own.isEmpty)
        } else {
            // What was read before may lack the claims that other routers have written again since.
            state.copy(settled = event.settled, loaded = state.loaded.takeIf { event.settled == state.settled })
        }

    /** Ignores a shard of an earlier era, which may hold claims that the store has lost. */
    private fun readDone(state: ClaimShardState, shard: LoadedShard, now: Instant): ClaimShardState =
        if (StoreVersion(shard.revision).era < state.era) {
            state.copy(call = null)
        } else {
            state.copy(loaded = shard.copy(readAt = now), call = null)
        }

    private fun withSubmitted(state: ClaimShardState, operation: ClaimOperation, now: Instant): ClaimShardState {
        val timeout = if (operation is ClaimOperation.Claim) options.claimTimeout else options.recordTimeout
        return state.copy(pending = state.pending.add(PendingOperation(operation, now + timeout)))
    }

    private fun withFailedRead(state: ClaimShardState, now: Instant): ClaimShardState =
        state.copy(call = null, notBefore = now + options.retryBackoff)

    private fun withUnconfirmedWrite(state: ClaimShardState, conflict: Boolean, now: Instant): ClaimShardState {
        val returned = (state.call as? ShardCall.Writing)?.operations.orEmpty()
        return state.copy(
            loaded = null,
            call = null,
            pending = (returned + state.pending).toPersistentList(),
            notBefore = if (conflict) now else now + options.retryBackoff,
        )
    }

    private fun writeDone(
        state: ClaimShardState,
        revision: Long,
        now: Instant,
    ): Step<ClaimShardState, ClaimShardAction> {
        val write = state.call as? ShardCall.Writing ?: return Step(state)
        val loaded = LoadedShard(revision, write.content, readAt = now)
        val own = state.own.written(write.operations, write.content, now, oldest = now - options.ownClaimsMemory)
        val completions = write.operations.map {
            ClaimShardAction.Complete(it.operation, transitions.resultOfWrite(it.operation))
        }
        val written = state.copy(
            loaded = loaded.takeIf { StoreVersion(revision).era >= state.era },
            call = null,
            own = own,
            restoring = state.restoring && StoreVersion(revision).era < state.era,
        )
        val next = proceed(written, now)
        return next.copy(actions = completions + next.actions)
    }

    private fun proceed(state: ClaimShardState, now: Instant): Step<ClaimShardState, ClaimShardAction> {
        val (expired, pending) = state.pending.partition { now >= it.deadline }
        val completions = expired.map { ClaimShardAction.Complete(it.operation, transitions.timedOut) }
        val current = state.copy(pending = pending.toPersistentList())
        val loaded = current.loaded
        val next = when {
            current.call != null || current.pending.isEmpty() && !current.restoring -> Step(current)
            now < current.notBefore -> Step(current)
            loaded == null || isStale(current, loaded, now) -> Step(
                current.copy(call = ShardCall.Reading),
                listOf(ClaimShardAction.Read)
            )
            else -> write(current, loaded, now)
        }
        return next.copy(actions = completions + next.actions)
    }

    /** Returns whether [loaded] may lack a response, recorded by another router, that a pending claim needs. */
    private fun isStale(state: ClaimShardState, loaded: LoadedShard, now: Instant): Boolean {
        val old = now >= loaded.readAt + options.maxReadAge
        return old && state.pending.any { pending ->
            val existing = loaded.records[pending.operation.key.text]
            pending.operation is ClaimOperation.Claim &&
                existing != null && !existing.released && existing.response == null
        }
    }

    private fun write(
        state: ClaimShardState,
        loaded: LoadedShard,
        now: Instant,
    ): Step<ClaimShardState, ClaimShardAction> {
        val records = if (state.restoring) state.own.addedTo(loaded.records) else loaded.records
        val carriedOver = loaded.isFromEarlierEra && records.isNotEmpty()
        val (waiting, ready) = state.pending.partition {
            carriedOver || !state.settled && transitions.needsGrant(records, it.operation)
        }
        val outcome = transitions.apply(records, ready.take(options.maxBatchSize), now)
        val rest = (ready.drop(options.maxBatchSize) + waiting).toPersistentList()
        val completions = outcome.decided.map { ClaimShardAction.Complete(it.operation, it.result) }
        if (outcome.written.isEmpty() && records == loaded.records && !carriedOver) {
            return Step(state.copy(pending = rest, restoring = false), completions)
        }
        val writing = ShardCall.Writing(outcome.written.toPersistentList(), outcome.records)
        val next = state.copy(pending = rest, call = writing, notBefore = now + options.minWriteInterval)
        return Step(next, completions + ClaimShardAction.Write(loaded.revision, outcome.records))
    }
}
