package comfreypath.router.view

import com.github.michaelbull.result.fold
import comfreypath.coordination.facts.HeldObjects
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
    private var held = HeldObjects()

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

    private val revisions = HashMap<String, Long>()
    private val documents = HashMap<String, String>()
    private val listeners = mutableListOf<() -> Unit>()

    /** Still true after a notification that a listener ended by an exception. */
    private var notifying = false

    private val removals = RemovalLog()
    private var lastDigest: KindDigest? = null

    /** The digest of all objects; null before the first list. */
    override val digest: KindDigest?
        get() = lastDigest ?: confirmedAt?.let { KindDigest.of(revision, revisions) }.also { lastDigest = it }

    override fun agreed(at: Instant) {
        agreedAt = maxOf(at, agreedAt ?: at)
    }

    override fun digestAfter(changes: List<ObjectChange<T>>, revision: Long): KindDigest {
        val next = HashMap(revisions)
        changes.forEach { change ->
            if (change.removed) next.remove(change.stored.name) else next[change.stored.name] = change.stored.revision
        }
        return KindDigest.of(revision, next)
    }

    /** The store revision of the last change of the object called [name]; null if it is not known. */
    fun revisionOf(name: String): Long? = revisions[name]

    /** Calls [listener] after each change. */
    fun onChange(listener: () -> Unit) {
        listeners += listener
    }

    override fun replace(objects: List<StoredObject<T>>, revision: Long, confirmedAt: Instant) {
        if (revision < this.revision) {
            context.log.record("${label}s_ignored", "revision" to revision, "known" to this.revision)
            return
        }
        val decoded = HashMap<String, T>()
        if (this.confirmedAt == null || !isSameEra(revision)) {
            removals.reset(revision)
        } else {
            removals.addMissing(revisions.keys, objects, revision)
        }
        val previousNames = revisions.keys.toSet()
        revisions.clear()
        documents.clear()
        objects.forEach { track(it) }
        objects.forEach { stored -> stored.valueOrNull(context, label)?.let { decoded[stored.name] = it } }
        val previous = values
        if (holdsLost) holdLost(previous.keys, revision)
        values = decoded.toPersistentMap().putAll(previous.filterKeys { it in held.names })
        this.revision = revision
        this.confirmedAt = confirmedAt
        agreed(confirmedAt)
        lastDigest = null
        if (previous != values) {
            context.log.record("${label}s_listed", "count" to values.size, "revision" to revision)
        }
        // Listeners also distinguish an object that can't be read from one that is gone.
        notify(changed = previous != values || previousNames != revisions.keys)
        behindSince = null
    }

    override fun apply(changes: List<ObjectChange<T>>, revision: Long, confirmedAt: Instant) {
        if (!isSameEra(revision)) {
            context.log.record("${label}s_ignored", "revision" to revision, "known" to this.revision)
            return
        }
        changes.forEach { change ->
            val name = change.stored.name
            held = held.without(name)
            val value = if (change.removed) null else change.stored.valueOrNull(context, label)
            values = if (value == null) values.remove(name) else values.put(name, value)
            if (change.removed) untrack(name, revision) else track(change.stored)
            context.log.record(
                if (value == null) "${label}_removed" else "${label}_changed",
                label to name,
                "revision" to change.stored.revision,
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

    /** Keeps the objects that a store that came back from a copy lacks, until they are written again or for a while. */
    private fun holdLost(known: Set<String>, revision: Long) {
        val before = held
        held = before.listed(known, revisions.keys, newEra = !isSameEra(revision), context.now())
        (held.names - before.names).forEach { context.log.record("${label}_held", label to it, "revision" to revision) }
    }

    /** Releases the objects that the store has lacked for too long since it came back from a copy. */
    fun releaseHeld() {
        val before = held
        held = before.recent(context.now())
        val released = before.names - held.names
        if (released.isNotEmpty()) {
            released.forEach { context.log.record("${label}_released", label to it) }
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

    private fun isSameEra(revision: Long) = StoreVersion(revision).era == StoreVersion(this.revision).era

    private fun track(stored: StoredObject<T>) {
        revisions[stored.name] = stored.revision
        documents[stored.name] = stored.document
    }

    private fun untrack(name: String, revision: Long) {
        revisions.remove(name)
        documents.remove(name)
        removals.add(name, revision)
    }

    /**
     * The delta for a peer whose objects are at revision [since]. It is a full snapshot if [since] is null or the
     * changes after it are not all known, and null before the first list.
     */
    fun snapshot(since: Long?): KindSnapshot? = confirmedAt?.let {
        val age = Duration.between(it, context.now()).toMillis() + 1
        val removed = since?.takeIf { base -> base <= revision }?.let(removals::since)
        if (removed == null) {
            KindSnapshot(revision, age, documents.values.toList())
        } else {
            KindSnapshot(
                revision = revision,
                ageMilliseconds = age,
                documents = documents.filterKeys { name -> revisions.getValue(name) > since }.values.toList(),
                since = since,
                removed = removed.filter { name -> name !in revisions }.distinct(),
                hash = digest?.hash,
            )
        }
    }
}

private fun <T : Any> StoredObject<T>.valueOrNull(context: RouterContext, label: String): T? = value.fold(
    success = { it },
    failure = { reason ->
        context.log.record("${label}_unreadable", label to name, "reason" to reason)
        null
    },
)
