package comfreypath.router.peers

import com.github.michaelbull.result.fold
import comfreypath.coordination.facts.StoreVersion
import comfreypath.router.RouterContext
import comfreypath.router.launchLoop
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.ObjectStore
import comfreypath.router.store.RouterRecord
import comfreypath.router.store.StoreError
import comfreypath.router.view.KindView
import kotlinx.coroutines.delay

private const val RETRY_MILLISECONDS = 500L

/** Registers this router in the store, where the other routers discover it. */
class Registration(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val routers: KindView<RouterRecord>,
) {
    private val name = context.options.name.text
    private val record = context.options.peerAddress.let { RouterRecord(it.host, it.port, context.options.dataCentre) }

    /** The era of the store in which this router has registered; null before. */
    private var registeredIn: Long? = null

    /**
     * Registers in the background, with retries until the store accepts the record, and again if the store has come
     * back from a copy without it. An instance that restarts has its record already; it needs no call then.
     */
    fun start() {
        context.launchLoop("register") {
            val era = StoreVersion(routers.revision).era
            if (routers.confirmedAt == null || registeredIn == era || routers.values[name] == record) {
                context.ticker.await()
            } else if (register()) {
                registeredIn = era
            } else {
                delay(RETRY_MILLISECONDS)
            }
        }
    }

    private suspend fun register(): Boolean = store.create(ObjectKinds.ROUTERS, name, record).fold(
        success = { true },
        failure = { error -> error == StoreError.Conflict && replaceStale() },
    )

    /** Replaces the record that an earlier start of this instance left; keeps it if it is equal. */
    private suspend fun replaceStale(): Boolean = store.read(ObjectKinds.ROUTERS, name).fold(
        success = { stored ->
            val same = stored?.value?.fold(success = { it == record }, failure = { false }) ?: false
            same || stored != null && store.replace(ObjectKinds.ROUTERS, name, record, stored.revision).isOk
        },
        failure = { false },
    )
}
