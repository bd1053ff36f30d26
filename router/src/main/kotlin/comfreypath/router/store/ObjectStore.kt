package comfreypath.router.store

import com.github.michaelbull.result.Result
import comfreypath.coordination.facts.StoreVersion
import java.time.Duration

/**
 * A kind of object in the platform's store.
 *
 * @property label the kind's name in logs and metrics
 * @property code the kind's name in the status messages between routers
 */
class ObjectKind<T : Any>(val label: String, val code: String) {
    override fun toString(): String = label
}

/**
 * An object as read from the store.
 *
 * @property revision the store version of the object's last change, see [StoreVersion]
 * @property value the decoded content, or why it can't be decoded
 * @property document the object as the store wrote it, to pass on to other routers
 */
class StoredObject<T : Any>(
    val name: String,
    val revision: Long,
    val value: Result<T, String>,
    val document: String,
)

/**
 * One page of a list.
 *
 * @property revision the store revision at the time of the response
 * @property next the name after which the next page starts; null on the last page
 */
class ObjectPage<T : Any>(val objects: List<StoredObject<T>>, val revision: Long, val next: String?)

/** A change to an object: its new state, or its removal. */
class ObjectChange<T : Any>(val stored: StoredObject<T>, val removed: Boolean)

/** The changes that a watch returned, and the revision to resume from. */
class ObjectChanges<T : Any>(val changes: List<ObjectChange<T>>, val revision: Long)

/**
 * The platform's store of versioned objects. Each call is counted in the metrics; none is retried here.
 *
 * Reads are linearizable unless they allow stale results: the result includes every write that the store acknowledged
 * before the call was sent. The store may come back from a copy some seconds old; its era then rises. All revisions
 * here are versions, of an era and a revision, see [StoreVersion]; calls that depend on a version of another era fail.
 */
interface ObjectStore {
    /** The highest era of the store that is known; 0 if it names none. */
    val era: Long get() = 0

    /** Makes the next calls on new connections, because an open one is silent. Calls in progress go on. */
    fun discardIdleConnections() = Unit

    /** Learns from a peer that the store is in [era]: answers of earlier eras fail from now on. */
    fun learnEra(era: Long) = Unit

    /**
     * Lists one page of the objects of a kind, from the start or after the name [after].
     *
     * @param allowStale true if the result may be some seconds old, which costs the store less
     */
    suspend fun <T : Any> list(
        kind: ObjectKind<T>,
        after: String? = null,
        allowStale: Boolean = false,
    ): Result<ObjectPage<T>, StoreError>

    /** Waits up to [maxWait] for changes after [revision]. */
    suspend fun <T : Any> watch(
        kind: ObjectKind<T>,
        revision: Long,
        maxWait: Duration,
    ): Result<ObjectChanges<T>, StoreError>

    /** Reads one object; null if it does not exist. */
    suspend fun <T : Any> read(kind: ObjectKind<T>, name: String): Result<StoredObject<T>?, StoreError>

    /** Creates an object; fails with [StoreError.Conflict] if it exists. */
    suspend fun <T : Any> create(kind: ObjectKind<T>, name: String, value: T): Result<StoredObject<T>, StoreError>

    /** Replaces an object; fails with [StoreError.Conflict] if its revision is not [expectedRevision]. */
    suspend fun <T : Any> replace(
        kind: ObjectKind<T>,
        name: String,
        value: T,
        expectedRevision: Long,
    ): Result<StoredObject<T>, StoreError>

    /** Replaces the status of an object; fails with [StoreError.Conflict] if its revision is not [expectedRevision]. */
    suspend fun <T : Any> replaceStatus(
        kind: ObjectKind<T>,
        name: String,
        value: T,
        expectedRevision: Long,
    ): Result<StoredObject<T>, StoreError>

    /** Decodes an object that another router has read in [era] and passed on; null if it is malformed. */
    fun <T : Any> decode(kind: ObjectKind<T>, document: String, era: Long = 0): StoredObject<T>?

    /** Removes an object, regardless of its revision. */
    suspend fun remove(kind: ObjectKind<*>, name: String): Result<Unit, StoreError>
}
