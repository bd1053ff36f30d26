package comfreypath.router.view

import com.github.michaelbull.result.fold
import comfreypath.coordination.facts.StoreVersion
import comfreypath.coordination.fleet.KindDigest
import comfreypath.router.RouterContext
import comfreypath.router.peers.KindSnapshot
import comfreypath.router.store.ObjectChange
import comfreypath.router.store.StoredObject
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import java.time.Duration
import java.time.Instant

/** The objects of one kind, as last received from the store or from a peer. */
class KindView<T : Any>(
    private val context: RouterContext,
    private val label: String,
    private val holdsLost: Boolean = false,
) : StoreSink<T> {
    private val held = HeldOrders(context, label)

    /** The objects that could be decoded, by name. */
    var values: PersistentMap<String, T> = persistentMapOf()
        private set

    /** The store version that [values] reflects, see [StoreVersion]. */
    var revision: Long = 0
        private set

    /** When [values] was last confirmed to be current; null before the first list. */
    var confirmedAt: Instant? = null
        private set

    /** When [values] was last confirmed, or found equal to a peer's objects; null before the first list. */
    var agreedAt: Instant? = null
        private set

    override var behindSince: Instant? = null

    private val tracked = TrackedObjects()
    private val listeners = mutableListOf<() -> Unit>()

    /** Still true after a notification that a listener ended by an exception. */
    private var notifying = false

    private var lastDigest: KindDigest? = null

    /** The digest of all objects; null before the first list. */
    override val digest: KindDigest?
        get() = lastDigest ?: confirmedAt?.let { KindDigest.of(revision, tracked.revisions) }.also { lastDigest = it }

    override fun agreed(at: Instant) {
        agreedAt = maxOf(at, agreedAt ?: at)
    }

    override fun digestAfter(changes: List<ObjectChange<T>>, revision: Long): KindDigest {
        val next = HashMap(tracked.revisions)
        changes.forEach { change ->
            if (change.removed) next.remove(change.stored.name) else next[change.stored.name] = change.stored.revision
        }
        return KindDigest.of(revision, next)
    }

    /** The store revision of the last change of the object called [name]; null if it is not known. */
    fun revisionOf(name: String): Long? = tracked.revisions[name]

    /** Calls [listener] after each change. */
    fun onChange(listener: () -> Unit) {
        listeners += listener
    }

    override fun replace(objects: List<StoredObject<T>>, revision: Long, confirmedAt: Instant) {
        if (revision < this.revision) {
            context.log.record(
                "${label}s_ignored",
                "revision" to StoreVersion.label(revision),
                "known" to StoreVersion.label(this.revision)
            )
            return
        }
        val decoded = HashMap<String, T>()
        if (this.confirmedAt == null || !isOfSameEra(revision)) {
            tracked.removals.reset(revision)
        } else {
            tracked.removals.addMissing(tracked.revisions.keys, objects, revision)
        }
        val previousRevisions = HashMap(tracked.revisions)
        tracked.replace(objects)
        objects.forEach { stored ->
            stored.valueOrNull(context, label, previousRevisions[stored.name])?.let { decoded[stored.name] = it }
        }
        val previous = values
        if (holdsLost) held.listed(previous.keys, tracked.revisions.keys, newEra = !isOfSameEra(revision))
        values = decoded.toPersistentMap().putAll(previous.filterKeys { it in held.names })
        this.revision = revision
        this.confirmedAt = confirmedAt
        agreed(confirmedAt)
        lastDigest = null
        if (previous != values) {
            context.log.record("${label}s_listed", "count" to values.size, "revision" to StoreVersion.label(revision))
        }
        // Listeners also distinguish an object that can't be read from one that is gone.
        notify(changed = previous != values || previousRevisions.keys != tracked.revisions.keys)
        behindSince = null
    }

    override fun apply(changes: List<ObjectChange<T>>, revision: Long, confirmedAt: Instant) {
        if (!isOfSameEra(revision)) {
            context.log.record(
                "${label}s_ignored",
                "revision" to StoreVersion.label(revision),
                "known" to StoreVersion.label(this.revision)
            )
            return
        }
        changes.forEach { change ->
            val name = change.stored.name
            held.written(name)
            val known = tracked.revisions[name]
            val value = if (change.removed) null else change.stored.valueOrNull(context, label, known)
            values = if (value == null) values.remove(name) else values.put(name, value)
            if (change.removed) tracked.remove(name, revision) else tracked.put(change.stored)
            context.log.record(
                if (value == null) "${label}_removed" else "${label}_changed",
                label to name,
                "revision" to StoreVersion.label(change.stored.revision),
                "value" to value,
            )
        }
        this.revision = maxOf(revision, this.revision)
        this.confirmedAt = confirmedAt
        agreed(confirmedAt)
        lastDigest = null
        notify(changed = changes.isNotEmpty())
        behindSince = null
    }

    /** Releases the objects that the store has lacked for too long since it came back from a copy. */
    fun releaseHeld() {
        val released = held.release()
        if (released.isNotEmpty()) {
            released.forEach { values = values.remove(it) }
            notify(changed = true)
        }
    }

    private fun notify(changed: Boolean) {
        if (changed || notifying) {
            notifying = true
            listeners.forEach { it() }
            notifying = false
        }
    }

    /**
     * The delta for a peer whose objects are at revision [since]. It is a full snapshot if [since] is null or the
     * changes after it are not all known, and null before the first list.
     */
    fun snapshot(since: Long?): KindSnapshot? = confirmedAt?.let {
        val age = Duration.between(it, context.now()).toMillis() + 1
        val removed = since?.takeIf { base -> base <= revision }?.let(tracked.removals::since)
        if (removed == null) {
            KindSnapshot(revision, age, tracked.documents.values.toList())
        } else {
            KindSnapshot(
                revision = revision,
                ageMilliseconds = age,
                documents = tracked.documents.filterKeys { tracked.revisions.getValue(it) > since }.values.toList(),
                since = since,
                removed = removed.filter { name -> name !in tracked.revisions }.distinct(),
                hash = digest?.hash,
            )
        }
    }
}

private fun KindView<*>.isOfSameEra(revision: Long): Boolean =
    StoreVersion(revision).isOfSameEra(StoreVersion(this.revision))

/** The value; null if it could not be decoded, which is logged unless the object was [known] at its revision. */
private fun <T : Any> StoredObject<T>.valueOrNull(context: RouterContext, label: String, known: Long?): T? = value.fold(
    success = { it },
    failure = { reason ->
        if (revision != known) {
            val version = StoreVersion.label(revision)
            context.log.record("${label}_unreadable", label to name, "revision" to version, "reason" to reason)
        }
        null
    },
)
