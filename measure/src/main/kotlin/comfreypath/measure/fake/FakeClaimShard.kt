package comfreypath.measure.fake

import comfreypath.coordination.claims.ClaimOperation
import comfreypath.coordination.claims.ClaimResult
import comfreypath.coordination.claims.ClaimShard
import comfreypath.coordination.claims.ClaimShardAction
import comfreypath.coordination.claims.ClaimShardEvent
import comfreypath.coordination.claims.ClaimShardOptions
import comfreypath.coordination.claims.ClaimShardState
import comfreypath.coordination.claims.LoadedShard
import kotlinx.collections.immutable.toPersistentMap
import java.time.Duration

/** One router's driver of one claim shard, which runs the real [ClaimShard] against a [FakeStore]. */
class FakeClaimShard(private val simulation: Simulation, private val store: FakeStore) {
    private val shard = ClaimShard(ClaimShardOptions(retention = RETENTION))
    private var ticking = false
    private var state = ClaimShardState()
    private val pending = HashMap<ClaimOperation, MutableList<(ClaimResult) -> Unit>>()
    private var incarnation = 0

    /** Discards all state, as if the router was killed and replaced. Pending operations get no response. */
    fun restart() {
        incarnation += 1
        state = ClaimShardState()
        pending.clear()
    }

    /** Submits an operation; [onResponse] receives its result. */
    fun submit(operation: ClaimOperation, onResponse: (ClaimResult) -> Unit) {
        pending.getOrPut(operation) { mutableListOf() } += onResponse
        step(ClaimShardEvent.Submitted(operation))
        ensureTicking()
    }

    private fun ensureTicking() {
        if (!ticking) {
            ticking = true
            simulation.every(TICK_INTERVAL) {
                step(ClaimShardEvent.Tick)
                ticking = pending.isNotEmpty()
                ticking
            }
        }
    }

    private fun step(event: ClaimShardEvent) {
        val next = shard.step(state, event, simulation.instant())
        state = next.state
        next.actions.forEach { perform(it) }
    }

    private fun perform(action: ClaimShardAction) {
        val current = incarnation
        when (action) {
            is ClaimShardAction.Complete -> pending.remove(action.operation)?.forEach { it(action.result) }
            is ClaimShardAction.Read -> store.read { revision, records ->
                if (current == incarnation) {
                    step(readEvent(revision, records?.toPersistentMap()?.let { LoadedShard(revision, it) }))
                }
            }
            is ClaimShardAction.Write -> store.write(action.expectedRevision, action.records) { outcome, revision ->
                if (current == incarnation) {
                    step(writeEvent(outcome, revision))
                }
            }
        }
    }

    private fun readEvent(revision: Long, loaded: LoadedShard?): ClaimShardEvent =
        if (loaded == null) ClaimShardEvent.ReadFailed else ClaimShardEvent.ReadDone(loaded.copy(revision = revision))

    private fun writeEvent(outcome: WriteOutcome, revision: Long): ClaimShardEvent = when (outcome) {
        WriteOutcome.WRITTEN -> ClaimShardEvent.WriteDone(revision)
        WriteOutcome.CONFLICT -> ClaimShardEvent.WriteNotConfirmed(conflict = true)
        WriteOutcome.UNKNOWN -> ClaimShardEvent.WriteNotConfirmed(conflict = false)
    }

    private companion object {
        val TICK_INTERVAL: Duration = Duration.ofMillis(20)
        val RETENTION: Duration = Duration.ofMinutes(2)
    }
}
