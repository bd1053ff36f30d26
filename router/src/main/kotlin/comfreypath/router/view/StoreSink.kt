package comfreypath.router.view

import com.github.michaelbull.result.fold
import comfreypath.coordination.fleet.KindDigest
import comfreypath.coordination.routing.Configuration
import comfreypath.router.RouterContext
import comfreypath.router.store.ObjectChange
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.StoredObject
import java.time.Instant

/** Takes what a [StoreFollower] learns of the objects of one kind. */
interface StoreSink<T : Any> {
    /** What is known so far; null when only a whole list can be taken. */
    val digest: KindDigest?

    /** Takes a whole list, as the store had it at [revision], no earlier than [confirmedAt]. */
    fun replace(objects: List<StoredObject<T>>, revision: Long, confirmedAt: Instant)

    /** Takes the changes up to [revision]; there may be none. */
    fun apply(changes: List<ObjectChange<T>>, revision: Long, confirmedAt: Instant)
}

/** Puts configurations in force. */
class ConfigurationSink(
    private val context: RouterContext,
    private val view: ConfigurationView
) : StoreSink<Configuration> {
    override val digest: KindDigest? get() = null

    override fun replace(objects: List<StoredObject<Configuration>>, revision: Long, confirmedAt: Instant) =
        objects.forEach { update(it, confirmedAt) }

    override fun apply(changes: List<ObjectChange<Configuration>>, revision: Long, confirmedAt: Instant) {
        changes.filterNot { it.removed }.forEach { update(it.stored, confirmedAt) }
        if (changes.isEmpty()) {
            view.confirm(confirmedAt)
        }
    }

    /** Takes the configuration's object as it was read no earlier than [confirmedAt]. */
    fun update(stored: StoredObject<Configuration>, confirmedAt: Instant) {
        if (stored.name != ObjectKinds.CONFIGURATION_NAME) {
            return
        }
        stored.value.fold(
            success = { view.update(it, stored.revision, confirmedAt, stored.document) },
            failure = {
                context.log.record("configuration_unreadable", "reason" to it, "revision" to stored.revision)
            },
        )
    }
}
