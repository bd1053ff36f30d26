package comfreypath.router.store

import com.github.michaelbull.result.Result
import java.time.Duration

/**
 * A kind of object in the platform's store.
 *
 * @property label the kind's name in logs and metrics
 * @property code the kind's name in the statuses that routers send each other
 */
class ObjectKind<T : Any>(val label: String, val code: String) {
    override fun toString(): String = label
}

/**
 * An object of the store.
 *
 * @property revision the store's revision of the object's last change
 * @property value what it holds, or why that can't be read
 * @property document the object as the store wrote it, to be passed on to other routers
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
 * @property revision the store's revision as of the answer
 * @property next the name from which the list goes on; null after the last page
 */
class ObjectPage<T : Any>(val objects: List<StoredObject<T>>, val revision: Long, val next: String?)

/** A change of an object: its new state, or its removal. */
class ObjectChange<T : Any>(val stored: StoredObject<T>, val removed: Boolean)

/** What a watch brought, and the revision from which it goes on. */
class ObjectChanges<T : Any>(val changes: List<ObjectChange<T>>, val revision: Long)

/**
 * The platform's store of versioned objects. Each call is counted, and none is repeated here.
 *
 * What a read returns is linearizable: it holds everything that the store acknowledged before the call was sent.
 */
interface ObjectStore {
    /** Reads one page of the objects of a kind, from the start or from [after] on. */
    suspend fun <T : Any> list(kind: ObjectKind<T>, after: String? = null): Result<ObjectPage<T>, StoreError>

    /** Waits for changes after [revision], at most for [maxWait]. */
    suspend fun <T : Any> watch(
        kind: ObjectKind<T>,
        revision: Long,
        maxWait: Duration,
    ): Result<ObjectChanges<T>, StoreError>

    /** Reads one object; null when there is none. */
    suspend fun <T : Any> read(kind: ObjectKind<T>, name: String): Result<StoredObject<T>?, StoreError>

    /** Creates an object that must not exist. */
    suspend fun <T : Any> create(kind: ObjectKind<T>, name: String, value: T): Result<StoredObject<T>, StoreError>

    /** Replaces an object whose revision must be [expectedRevision]. */
    suspend fun <T : Any> replace(
        kind: ObjectKind<T>,
        name: String,
        value: T,
        expectedRevision: Long,
    ): Result<StoredObject<T>, StoreError>

    /** Reads an object that another router passed on; null when it can't be read at all. */
    fun <T : Any> decode(kind: ObjectKind<T>, document: String): StoredObject<T>?

    /** Removes an object, whatever its revision. */
    suspend fun remove(kind: ObjectKind<*>, name: String): Result<Unit, StoreError>
}
