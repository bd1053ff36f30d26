package comfreypath.router.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.coroutines.awaitCancellation
import java.time.Duration

/** A store whose reads return what the given functions return; writes are refused. */
internal class ScriptedStore(
    private val onList: suspend () -> Result<ObjectPage<*>, StoreError> = { awaitCancellation() },
    private val onWatch: suspend () -> Result<ObjectChanges<*>, StoreError> = { awaitCancellation() },
    private val onRead: suspend () -> Result<StoredObject<*>?, StoreError> = { awaitCancellation() },
) : ObjectStore {
    private val refused = Err(StoreError.Refused(503))

    @Suppress("UNCHECKED_CAST")
    override suspend fun <T : Any> list(
        kind: ObjectKind<T>,
        after: String?,
        allowStale: Boolean,
    ): Result<ObjectPage<T>, StoreError> =
        onList() as Result<ObjectPage<T>, StoreError>

    @Suppress("UNCHECKED_CAST")
    override suspend fun <T : Any> watch(
        kind: ObjectKind<T>,
        revision: Long,
        maxWait: Duration,
    ): Result<ObjectChanges<T>, StoreError> = onWatch() as Result<ObjectChanges<T>, StoreError>

    @Suppress("UNCHECKED_CAST")
    override suspend fun <T : Any> read(kind: ObjectKind<T>, name: String): Result<StoredObject<T>?, StoreError> =
        onRead() as Result<StoredObject<T>?, StoreError>

    override suspend fun <T : Any> create(
        kind: ObjectKind<T>,
        name: String,
        value: T,
    ): Result<StoredObject<T>, StoreError> = refused

    override suspend fun <T : Any> replace(
        kind: ObjectKind<T>,
        name: String,
        value: T,
        expectedRevision: Long,
    ): Result<StoredObject<T>, StoreError> = refused

    override suspend fun <T : Any> replaceStatus(
        kind: ObjectKind<T>,
        name: String,
        value: T,
        expectedRevision: Long,
    ): Result<StoredObject<T>, StoreError> = refused

    override fun <T : Any> decode(kind: ObjectKind<T>, document: String, era: Long): StoredObject<T>? = null

    override suspend fun remove(kind: ObjectKind<*>, name: String): Result<Unit, StoreError> = refused
}
