package comfreypath.router.peers

import com.github.michaelbull.result.fold
import comfreypath.router.RouterContext
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.ObjectStore
import comfreypath.router.store.RouterRecord
import comfreypath.router.store.StoreError
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private const val RETRY_MILLISECONDS = 500L

/** Registers this router in the store, where the others find it, and takes it out again. */
class Registration(private val context: RouterContext, private val store: ObjectStore) {
    private val name = context.options.name.text
    private val record = context.options.peerAddress.let { RouterRecord(it.host, it.port, context.options.dataCentre) }

    /** Registers, and tries again until the store has taken it. */
    fun start() {
        context.scope.launch {
            while (!registered()) {
                delay(RETRY_MILLISECONDS)
            }
        }
    }

    private suspend fun registered(): Boolean = store.create(ObjectKinds.ROUTERS, name, record).fold(
        success = { true },
        failure = { error -> error == StoreError.Conflict && replaced() },
    )

    /** An object of an earlier start of this instance is there: it is left alone if it says the same. */
    private suspend fun replaced(): Boolean = store.read(ObjectKinds.ROUTERS, name).fold(
        success = { stored ->
            val same = stored?.value?.fold(success = { it == record }, failure = { false }) ?: false
            same || stored != null && store.replace(ObjectKinds.ROUTERS, name, record, stored.revision).isOk
        },
        failure = { false },
    )
}
