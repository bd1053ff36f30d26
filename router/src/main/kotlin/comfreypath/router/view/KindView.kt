package comfreypath.router.view

import com.github.michaelbull.result.fold
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

/** The objects of one kind as the store last had them. */
class KindView<T : Any>(private val context: RouterContext, private val label: String) : StoreSink<T> {
    /** The objects that can be read, by name. */
    var values: PersistentMap<String, T> = persistentMapOf()
        private set

    /** The store's revision at which [values] held. */
    var revision: Long = 0
        private set

    /** A time at which the store had said nothing newer than [values]; null until a list arrived. */
    var confirmedAt: Instant? = null
        private set

    private val revisions = HashMap<String, Long>()
    private val documents = HashMap<String, String>()
    private val listeners = mutableListOf<() -> Unit>()

    private val removals = RemovalLog()
    private var lastDigest: KindDigest? = null

    /** What this router knows, in short; null before the first list. */
    override val digest: KindDigest?
        get() = lastDigest ?: confirmedAt?.let { KindDigest(revision, revisions.hashCode()) }.also { lastDigest = it }

    /** Calls [listener] after each change. */
    fun onChange(listener: () -> Unit) {
        listeners += listener
    }

    override fun replace(objects: List<StoredObject<T>>, revision: Long, confirmedAt: Instant) {
        if (revision < this.revision) {
            context.log.record("${label}s_ignored", "revision" to revision, "known" to this.revision)
            return
        }
        val readable = HashMap<String, T>()
        noteRemovals(objects, revision)
        revisions.clear()
        documents.clear()
        objects.forEach { note(it) }
        objects.forEach { stored -> readable(stored)?.let { readable[stored.name] = it } }
        val before = values
        values = readable.toPersistentMap()
        this.revision = revision
        this.confirmedAt = confirmedAt
        lastDigest = null
        if (before != values) {
            context.log.record("${label}s_listed", "count" to values.size, "revision" to revision)
            listeners.forEach { it() }
        }
    }

    override fun apply(changes: List<ObjectChange<T>>, revision: Long, confirmedAt: Instant) {
        changes.forEach { change ->
            val value = if (change.removed) null else readable(change.stored)
            val name = change.stored.name
            values = if (value == null) values.remove(name) else values.put(name, value)
            if (change.removed) forget(name, revision) else note(change.stored)
            context.log.record(
                if (value == null) "${label}_removed" else "${label}_changed",
                label to name,
                "revision" to change.stored.revision,
                "value" to value,
            )
        }
        this.revision = maxOf(revision, this.revision)
        this.confirmedAt = confirmedAt
        lastDigest = null
        if (changes.isNotEmpty()) {
            listeners.forEach { it() }
        }
    }

    private fun note(stored: StoredObject<T>) {
        revisions[stored.name] = stored.revision
        documents[stored.name] = stored.document
    }

    private fun forget(name: String, revision: Long) {
        revisions.remove(name)
        documents.remove(name)
        removals.add(name, revision)
    }

    private fun noteRemovals(objects: List<StoredObject<T>>, revision: Long) {
        if (confirmedAt == null) {
            removals.reset(revision)
        } else {
            val listed = objects.mapTo(HashSet()) { it.name }
            revisions.keys.filter { it !in listed }.forEach { removals.add(it, revision) }
        }
    }

    /**
     * What this router can pass on to a peer that knows all up to [since], or nothing if that is null. Null before the
     * first list.
     */
    fun snapshot(since: Long?): KindSnapshot? = confirmedAt?.let {
        val age = Duration.between(it, context.now()).toMillis() + 1
        val removed = since?.takeIf { known -> known <= revision }?.let(removals::since)
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

    private fun readable(stored: StoredObject<T>): T? = stored.value.fold(
        success = { it },
        failure = { reason ->
            context.log.record("${label}_unreadable", label to stored.name, "reason" to reason)
            null
        },
    )
}
