package comfreypath.coordination.claims

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import java.time.Instant

/**
 * What a router knows of one shard of claims while it works on it.
 *
 * @property loaded the shard as last read or written; null when it must be read
 * @property pending the operations that no write has taken up yet
 * @property call the read or write in progress
 * @property notBefore the next read or write starts no earlier
 */
data class ClaimShardState(
    val loaded: LoadedShard? = null,
    val pending: PersistentList<PendingOperation> = persistentListOf(),
    val call: ShardCall? = null,
    val notBefore: Instant = Instant.EPOCH,
)

/**
 * A shard's content at one revision of the store; revision 0 means that the object does not exist.
 *
 * @property readAt when it was read or written
 */
data class LoadedShard(
    val revision: Long,
    val records: PersistentMap<String, ClaimRecord>,
    val readAt: Instant = Instant.EPOCH,
)

/** An operation and the instant after which it is given up. */
data class PendingOperation(val operation: ClaimOperation, val deadline: Instant)

/** The store call in progress. */
sealed interface ShardCall {
    /** The shard is being read. */
    data object Reading : ShardCall

    /** The shard is being written; [operations] are answered when the write is known to have taken effect. */
    data class Writing(
        val operations: PersistentList<PendingOperation>,
        val content: PersistentMap<String, ClaimRecord>,
    ) : ShardCall
}

/** What happens to a [ClaimShard]. */
sealed interface ClaimShardEvent {
    /** A router asks for an operation. */
    data class Submitted(val operation: ClaimOperation) : ClaimShardEvent

    /** A read brought the shard. */
    data class ReadDone(val shard: LoadedShard) : ClaimShardEvent

    /** A read failed. */
    data object ReadFailed : ClaimShardEvent

    /** A write took effect at [revision]. */
    data class WriteDone(val revision: Long) : ClaimShardEvent

    /** A write was refused because another router wrote first, or its outcome is unknown. */
    data class WriteNotConfirmed(val conflict: Boolean) : ClaimShardEvent

    /** Time has passed. */
    data object Tick : ClaimShardEvent
}

/** What the caller of a [ClaimShard] must do. */
sealed interface ClaimShardAction {
    /** Read the shard's object. */
    data object Read : ClaimShardAction

    /** Write the shard's object if its revision is still [expectedRevision]. */
    data class Write(val expectedRevision: Long, val records: Map<String, ClaimRecord>) : ClaimShardAction

    /** Tell the router that asked for [operation]. */
    data class Complete(val operation: ClaimOperation, val result: ClaimResult) : ClaimShardAction
}
