package comfreypath.router.view

import com.github.michaelbull.result.fold
import comfreypath.coordination.facts.StoreVersion
import comfreypath.coordination.fleet.KindDigest
import comfreypath.coordination.routing.Configuration
import comfreypath.router.RouterContext
import comfreypath.router.store.ObjectChange
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.StoredObject
import java.time.Instant

/** Receives the objects of one kind from a [StoreFollower]. */
interface StoreSink<T : Any> {
    /** The digest of the objects received so far; null if only full lists can be applied. */
    val digest: KindDigest?

    /** Replaces all objects with those that the store held at [revision], no earlier than [confirmedAt]. */
    fun replace(objects: List<StoredObject<T>>, revision: Long, confirmedAt: Instant)

    /** Since when it has been known that a peer has later objects; null if none has, or if it is not kept. */
    var behindSince: Instant?
        get() = null
        set(_) = Unit

    /** The digest of the objects after the changes up to [revision]; null if it is not known. */
    fun digestAfter(changes: List<ObjectChange<T>>, revision: Long): KindDigest? = null

    /** Records that a peer had the same objects at [at]. */
    fun agreed(at: Instant) = Unit

    /** Applies the changes up to [revision], read no earlier than [confirmedAt]; the list may be empty. */
    fun apply(changes: List<ObjectChange<T>>, revision: Long, confirmedAt: Instant)
}

/** Applies the configurations that the store returns to a [ConfigurationView]. */
class ConfigurationSink(
    private val context: RouterContext,
    private val view: ConfigurationView
) : StoreSink<Configuration> {
    override val digest: KindDigest? get() = null

    override fun replace(objects: List<StoredObject<Configuration>>, revision: Long, confirmedAt: Instant) {
        if (objects.none { it.name == ObjectKinds.CONFIGURATION_NAME }) {
            view.learnEra(StoreVersion(revision).era)
            view.compareWithStore(version = null, revision)
        }
        objects.forEach { update(it, confirmedAt) }
    }

    override fun apply(changes: List<ObjectChange<Configuration>>, revision: Long, confirmedAt: Instant) {
        changes.filterNot { it.removed }.forEach { update(it.stored, confirmedAt) }
        if (changes.isEmpty()) {
            view.confirmByStore(revision, confirmedAt)
        }
    }

    /** Updates the view with [stored], read no earlier than [confirmedAt]; ignores objects of another name. */
    fun update(stored: StoredObject<Configuration>, confirmedAt: Instant) {
        if (stored.name != ObjectKinds.CONFIGURATION_NAME) {
            return
        }
        stored.value.fold(
            success = { view.update(it, stored.revision, confirmedAt, stored.document) },
            failure = {
                context.log.record(
                    "configuration_unreadable",
                    "reason" to it,
                    "revision" to StoreVersion.label(stored.revision)
                )
            },
        )
    }
}
