package comfreypath.coordination.claims

import comfreypath.coordination.Step
import kotlinx.collections.immutable.toPersistentList
import java.time.Instant

/**
 * Grants each key to one attempt at most, with one conditional write for many operations.
 *
 * Safety comes from the conditional write alone: a claim is granted only when a write that holds it is known to have
 * taken effect, or a read has shown it. Any number of routers may work on one shard at once; the shard's holder only
 * makes conflicts rare. After a write whose outcome is unknown, the shard is read and compared before it is written
 * again.
 */
class ClaimShard(private val options: ClaimShardOptions = ClaimShardOptions()) {
    private val changes = ClaimChanges(options)

    /** Handles one event. */
    fun step(state: ClaimShardState, event: ClaimShardEvent, now: Instant): Step<ClaimShardState, ClaimShardAction> =
        when (event) {
            is ClaimShardEvent.Submitted -> proceed(submitted(state, event.operation, now), now)
            is ClaimShardEvent.ReadDone -> proceed(
                state.copy(loaded = event.shard.copy(readAt = now), call = null),
                now
            )
            is ClaimShardEvent.ReadFailed -> proceed(failed(state, now), now)
            is ClaimShardEvent.WriteDone -> written(state, event.revision, now)
            is ClaimShardEvent.WriteNotConfirmed -> proceed(notConfirmed(state, event.conflict, now), now)
            is ClaimShardEvent.Tick -> proceed(state, now)
        }

    private fun submitted(state: ClaimShardState, operation: ClaimOperation, now: Instant): ClaimShardState {
        val patience = if (operation is ClaimOperation.Claim) options.claimTimeout else options.recordTimeout
        return state.copy(pending = state.pending.add(PendingOperation(operation, now + patience)))
    }

    private fun failed(state: ClaimShardState, now: Instant): ClaimShardState =
        state.copy(call = null, notBefore = now + options.retryBackoff)

    private fun notConfirmed(state: ClaimShardState, conflict: Boolean, now: Instant): ClaimShardState {
        val returned = (state.call as? ShardCall.Writing)?.operations.orEmpty()
        return state.copy(
            loaded = null,
            call = null,
            pending = (returned + state.pending).toPersistentList(),
            notBefore = if (conflict) now else now + options.retryBackoff,
        )
    }

    private fun written(state: ClaimShardState, revision: Long, now: Instant): Step<ClaimShardState, ClaimShardAction> {
        val write = state.call as? ShardCall.Writing ?: return Step(state)
        val loaded = LoadedShard(revision, write.content, readAt = now)
        val answers = write.operations.map { ClaimShardAction.Complete(it.operation, changes.confirmed(it.operation)) }
        val next = proceed(state.copy(loaded = loaded, call = null), now)
        return next.copy(actions = answers + next.actions)
    }

    private fun proceed(state: ClaimShardState, now: Instant): Step<ClaimShardState, ClaimShardAction> {
        val (late, timely) = state.pending.partition { now >= it.deadline }
        val answers = late.map { ClaimShardAction.Complete(it.operation, changes.givenUp) }
        val current = state.copy(pending = timely.toPersistentList())
        val loaded = current.loaded
        val next = when {
            current.call != null || current.pending.isEmpty() -> Step(current)
            now < current.notBefore -> Step(current)
            loaded == null || outdated(current, loaded, now) -> Step(
                current.copy(call = ShardCall.Reading),
                listOf(ClaimShardAction.Read)
            )
            else -> write(current, loaded, now)
        }
        return next.copy(actions = answers + next.actions)
    }

    /** True when an answer that another router recorded may be missing from the copy. */
    private fun outdated(state: ClaimShardState, loaded: LoadedShard, now: Instant): Boolean {
        val old = now >= loaded.readAt + options.maxReadAge
        return old && state.pending.any { waiting ->
            val known = loaded.records[waiting.operation.key.text]
            waiting.operation is ClaimOperation.Claim && known != null && !known.released && known.response == null
        }
    }

    private fun write(
        state: ClaimShardState,
        loaded: LoadedShard,
        now: Instant,
    ): Step<ClaimShardState, ClaimShardAction> {
        val applied = changes.apply(loaded.records, state.pending.take(options.maxBatchSize), now)
        val rest = state.pending.drop(options.maxBatchSize).toPersistentList()
        val answers = applied.decided.map { ClaimShardAction.Complete(it.operation, it.answer) }
        if (applied.written.isEmpty()) {
            return Step(state.copy(pending = rest), answers)
        }
        val writing = ShardCall.Writing(applied.written.toPersistentList(), applied.records)
        val next = state.copy(pending = rest, call = writing, notBefore = now + options.minWriteInterval)
        return Step(next, answers + ClaimShardAction.Write(loaded.revision, applied.records))
    }
}
