package comfreypath.router.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** A store that keeps objects in memory, with conditional writes. */
internal class InMemoryStore : ObjectStore by ScriptedStore() {
    private val objects = HashMap<String, StoredObject<*>>()
    private var revision = 0L

    /** The number of writes that took effect. */
    var writes = 0
        private set

    /** Called before each read; may suspend or fail. */
    var beforeRead: suspend () -> Unit = {}

    /** Called before each write takes effect; may suspend or fail. */
    var beforeWrite: suspend () -> Unit = {}

    /** Called after each write that took effect, before the caller hears of it; may suspend or fail. */
    var afterWrite: suspend () -> Unit = {}

    /** Writes an object as an operator does, regardless of its revision; returns its new revision. */
    fun <T : Any> put(name: String, value: T): Long {
        revision += 1
        objects[name] = StoredObject(name, revision, Ok(value), "$name@$revision")
        return revision
    }

    /** The object called [name]; null if there is none. */
    @Suppress("UNCHECKED_CAST")
    fun <T : Any> find(name: String): StoredObject<T>? = objects[name] as StoredObject<T>?

    override suspend fun <T : Any> read(kind: ObjectKind<T>, name: String): Result<StoredObject<T>?, StoreError> {
        beforeRead()
        return Ok(find(name))
    }

    override suspend fun <T : Any> create(
        kind: ObjectKind<T>,
        name: String,
        value: T,
    ): Result<StoredObject<T>, StoreError> = write(name, value, expectedRevision = null)

    override suspend fun <T : Any> replace(
        kind: ObjectKind<T>,
        name: String,
        value: T,
        expectedRevision: Long,
    ): Result<StoredObject<T>, StoreError> = write(name, value, expectedRevision)

    override suspend fun <T : Any> replaceStatus(
        kind: ObjectKind<T>,
        name: String,
        value: T,
        expectedRevision: Long,
    ): Result<StoredObject<T>, StoreError> = write(name, value, expectedRevision)

    private suspend fun <T : Any> write(
        name: String,
        value: T,
        expectedRevision: Long?,
    ): Result<StoredObject<T>, StoreError> {
        beforeWrite()
        if (objects[name]?.revision != expectedRevision) {
            return Err(StoreError.Conflict)
        }
        put(name, value)
        writes += 1
        val written = checkNotNull(find<T>(name))
        afterWrite()
        return Ok(written)
    }
}
