package comfreypath.coordination.claims

import kotlinx.collections.immutable.PersistentMap
import java.time.Instant

/** State transitions of a shard's records under claim operations. */
internal class ClaimTransitions(private val options: ClaimShardOptions) {
    /** Result of an operation that has passed its deadline. */
    val timedOut: ClaimResult = ClaimResult.Unavailable("the store did not answer in time")

    /**
     * @property records records after the operations
     * @property written operations that are complete once [records] are written
     * @property decided operations whose result follows from the records without a write
     */
    data class BatchOutcome(
        val records: PersistentMap<String, ClaimRecord>,
        val written: List<PendingOperation>,
        val decided: List<DecidedOperation>,
    )

    data class DecidedOperation(val operation: ClaimOperation, val result: ClaimResult)

    private sealed interface Change {
        data class Put(val record: ClaimRecord) : Change
        data class Decided(val result: ClaimResult) : Change
    }

    /** Result of an operation whose write took effect. */
    fun resultOfWrite(operation: ClaimOperation): ClaimResult =
        if (operation is ClaimOperation.Claim) ClaimResult.Granted else ClaimResult.Stored

    /** True if [operation] would be granted by [records], which may lack the claim of another router. */
    fun needsGrant(records: Map<String, ClaimRecord>, operation: ClaimOperation): Boolean {
        val existing = records[operation.key.text]
        val free = existing == null || existing.released || existing.attempt == operation.attempt
        return operation is ClaimOperation.Claim && free
    }

    /** Removes expired records, then applies the [operations] in order. */
    fun apply(
        records: PersistentMap<String, ClaimRecord>,
        operations: List<PendingOperation>,
        now: Instant,
    ): BatchOutcome {
        val retainedSince = now - options.retention
        val expired = records.filterValues { it.claimedAt < retainedSince }.keys
        val retained = expired.fold(records) { kept, key -> kept.remove(key) }
        return operations.fold(BatchOutcome(retained, emptyList(), emptyList())) { outcome, pending ->
            applyOperation(outcome, pending, now)
        }
    }

    private fun applyOperation(outcome: BatchOutcome, pending: PendingOperation, now: Instant): BatchOutcome {
        val operation = pending.operation
        val existing = outcome.records[operation.key.text]
        val change = when (operation) {
            is ClaimOperation.Claim -> claim(operation, existing, outcome.records.size, now)
            is ClaimOperation.Record -> record(operation, existing, now)
            is ClaimOperation.Release -> release(operation, existing)
        }
        return when (change) {
            is Change.Put -> outcome.copy(
                records = outcome.records.put(operation.key.text, change.record),
                written = outcome.written + pending,
            )
            is Change.Decided -> outcome.copy(decided = outcome.decided + DecidedOperation(operation, change.result))
        }
    }

    private fun claim(operation: ClaimOperation.Claim, existing: ClaimRecord?, size: Int, now: Instant): Change = when {
        existing == null && size >= options.maxRecords ->
            Change.Decided(ClaimResult.Unavailable("the claim shard is full"))
        existing == null || (existing.released && existing.attempt != operation.attempt) ->
            Change.Put(ClaimRecord(operation.attempt, operation.fingerprint, now))
        existing.attempt == operation.attempt && !existing.released -> Change.Decided(ClaimResult.Granted)
        else -> Change.Decided(ClaimResult.Taken(existing.fingerprint, existing.response))
    }

    private fun record(operation: ClaimOperation.Record, existing: ClaimRecord?, now: Instant): Change = when {
        existing == null ->
            Change.Put(ClaimRecord(operation.attempt, fingerprint = 0, now, response = operation.response))
        existing.attempt != operation.attempt ->
            Change.Decided(ClaimResult.Taken(existing.fingerprint, existing.response))
        existing.response != null -> Change.Decided(ClaimResult.Stored)
        else -> Change.Put(existing.copy(response = operation.response))
    }

    private fun release(operation: ClaimOperation.Release, existing: ClaimRecord?): Change =
        if (existing == null || existing.attempt != operation.attempt || existing.released) {
            Change.Decided(ClaimResult.Stored)
        } else {
            Change.Put(existing.copy(released = true))
        }
}
