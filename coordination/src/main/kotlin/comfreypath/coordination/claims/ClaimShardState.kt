package comfreypath.coordination.claims

import comfreypath.coordination.facts.StoreVersion
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import java.time.Instant

/**
 * State of a [ClaimShard] at one router.
 *
 * @property loaded shard as last read or written; null if it must be read first
 * @property pending operations that are not yet part of a write
 * @property call read or write in progress; null if there is none
 * @property notBefore earliest time of the next read or write
 * @property own claims that this router has written lately
 * @property era era of the store that this shard was last told of
 * @property restoring true while claims of [own] may be missing in the copy from which the store came back
 * @property settled false while other routers may not have written their claims again; a key without a claim waits
 */
data class ClaimShardState(
    val loaded: LoadedShard? = null,
    val pending: PersistentList<PendingOperation> = persistentListOf(),
    val call: ShardCall? = null,
    val notBefore: Instant = Instant.EPOCH,
    val own: OwnClaims = OwnClaims(),
    val era: Long = 0,
    val restoring: Boolean = false,
    val settled: Boolean = true,
)

/**
 * Content of a shard at a store revision.
 *
 * @property revision store version of the shard's object; its revision is 0 if the object does not exist in its era
 * @property readAt time at which the content was read or written
 */
data class LoadedShard(
    val revision: Long,
    val records: PersistentMap<String, ClaimRecord>,
    val readAt: Instant = Instant.EPOCH,
) {
    /**
     * True if this may have been read from the object of an earlier era. Late writes may still change that object, so
     * nothing is decided before its content is written to the object of this era.
     */
    val isFromEarlierEra: Boolean get() = StoreVersion(revision).let { it.era > 0 && it.revision == 0L }
}

/** A submitted operation and the time at which it is abandoned. */
data class PendingOperation(val operation: ClaimOperation, val deadline: Instant)

/** A store call in progress. */
sealed interface ShardCall {
    /** The shard is being read. */
    data object Reading : ShardCall

    /** The shard is being written; [operations] complete when the write is known to have taken effect. */
    data class Writing(
        val operations: PersistentList<PendingOperation>,
        val content: PersistentMap<String, ClaimRecord>,
    ) : ShardCall
}

/** Input of a [ClaimShard]. */
sealed interface ClaimShardEvent {
    /** A router submits an operation. */
    data class Submitted(val operation: ClaimOperation) : ClaimShardEvent

    /** A read returned the shard. */
    data class ReadDone(val shard: LoadedShard) : ClaimShardEvent

    /** A read failed. */
    data object ReadFailed : ClaimShardEvent

    /** A write took effect at [revision]. */
    data class WriteDone(val revision: Long) : ClaimShardEvent

    /** A write was rejected because another router wrote first ([conflict]), or its outcome is unknown. */
    data class WriteNotConfirmed(val conflict: Boolean) : ClaimShardEvent

    /** The store is in [era]; [settled] is false while other routers may not have written their claims again. */
    data class EraKnown(val era: Long, val settled: Boolean) : ClaimShardEvent

    /** Time has passed. */
    data object Tick : ClaimShardEvent
}

/** Output of a [ClaimShard], to be performed by its driver. */
sealed interface ClaimShardAction {
    /** Read the shard's object. */
    data object Read : ClaimShardAction

    /** Write the shard's object if its revision is still [expectedRevision]. */
    data class Write(val expectedRevision: Long, val records: Map<String, ClaimRecord>) : ClaimShardAction

    /** Report the result of [operation] to its submitter. */
    data class Complete(val operation: ClaimOperation, val result: ClaimResult) : ClaimShardAction
}
