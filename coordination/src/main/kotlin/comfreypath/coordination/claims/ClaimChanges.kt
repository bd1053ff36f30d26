package comfreypath.coordination.claims

import kotlinx.collections.immutable.PersistentMap
import java.time.Instant

/** Applies operations to a shard's records. */
internal class ClaimChanges(private val options: ClaimShardOptions) {
    /** The answer to an operation that could not be carried out in time. */
    val givenUp: ClaimResult = ClaimResult.Unavailable("the store did not answer in time")

    /**
     * @property records the records with the operations applied
     * @property written the operations that need the write
     * @property decided the operations that the records already decide
     */
    data class Applied(
        val records: PersistentMap<String, ClaimRecord>,
        val written: List<PendingOperation>,
        val decided: List<DecidedOperation>,
    )

    data class DecidedOperation(val operation: ClaimOperation, val answer: ClaimResult)

    private sealed interface Change {
        data class Put(val record: ClaimRecord) : Change
        data class Decided(val answer: ClaimResult) : Change
    }

    /** The answer to an operation whose write took effect. */
    fun confirmed(operation: ClaimOperation): ClaimResult =
        if (operation is ClaimOperation.Claim) ClaimResult.Granted else ClaimResult.Stored

    fun apply(records: PersistentMap<String, ClaimRecord>, waiting: List<PendingOperation>, now: Instant): Applied {
        val oldest = now - options.retention
        val expired = records.filterValues { it.claimedAt < oldest }.keys
        val retained = expired.fold(records) { kept, key -> kept.remove(key) }
        return waiting.fold(Applied(retained, emptyList(), emptyList())) { applied, item ->
            applyOne(applied, item, now)
        }
    }

    private fun applyOne(applied: Applied, item: PendingOperation, now: Instant): Applied {
        val operation = item.operation
        val known = applied.records[operation.key.text]
        val change = when (operation) {
            is ClaimOperation.Claim -> claim(operation, known, applied.records.size, now)
            is ClaimOperation.Record -> record(operation, known, now)
            is ClaimOperation.Release -> release(operation, known)
        }
        return when (change) {
            is Change.Put -> applied.copy(
                records = applied.records.put(operation.key.text, change.record),
                written = applied.written + item,
            )
            is Change.Decided -> applied.copy(decided = applied.decided + DecidedOperation(operation, change.answer))
        }
    }

    private fun claim(operation: ClaimOperation.Claim, known: ClaimRecord?, size: Int, now: Instant): Change = when {
        known == null && size >= options.maxRecords ->
            Change.Decided(ClaimResult.Unavailable("the claim shard is full"))
        known == null || (known.released && known.attempt != operation.attempt) ->
            Change.Put(ClaimRecord(operation.attempt, operation.fingerprint, now))
        known.attempt == operation.attempt && !known.released -> Change.Decided(ClaimResult.Granted)
        else -> Change.Decided(ClaimResult.Taken(known.fingerprint, known.response))
    }

    private fun record(operation: ClaimOperation.Record, known: ClaimRecord?, now: Instant): Change = when {
        known == null -> Change.Put(ClaimRecord(operation.attempt, fingerprint = 0, now, response = operation.response))
        known.attempt != operation.attempt -> Change.Decided(ClaimResult.Taken(known.fingerprint, known.response))
        known.response != null -> Change.Decided(ClaimResult.Stored)
        else -> Change.Put(known.copy(response = operation.response))
    }

    private fun release(operation: ClaimOperation.Release, known: ClaimRecord?): Change =
        if (known == null || known.attempt != operation.attempt || known.released) {
            Change.Decided(ClaimResult.Stored)
        } else {
            Change.Put(known.copy(released = true))
        }
}
