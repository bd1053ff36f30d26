package comfreypath.standins

import comfreypath.platform.StoreWire
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject

private const val MAX_HISTORY_CHANGES = 4_096

/** One version of an object in the store. */
internal data class StoredEntry(
    val kind: String,
    val name: String,
    val created: Long,
    val revision: Long,
    val spec: JsonElement,
    val status: JsonElement,
    val finalizers: JsonArray = JsonArray(emptyList()),
    val deleting: Boolean = false,
) {
    /** The object as JSON on the wire. */
    fun document(): JsonObject = buildJsonObject {
        put(
            StoreWire.METADATA,
            buildJsonObject {
                put(StoreWire.NAME, JsonPrimitive(name))
                put(StoreWire.REVISION, JsonPrimitive(revision))
                put(StoreWire.CREATED_REVISION, JsonPrimitive(created))
                put(StoreWire.FINALIZERS, finalizers)
                put(StoreWire.DELETING, JsonPrimitive(deleting))
            },
        )
        put(StoreWire.SPEC, spec)
        put(StoreWire.STATUS, status)
    }
}

/** The outcome of a write. */
internal sealed interface WriteOutcome {
    data class Success(val entry: StoredEntry) : WriteOutcome
    data class Conflict(val entry: StoredEntry) : WriteOutcome
    data object NotFound : WriteOutcome
}

/** The versioned objects of an object store stand-in, with a bounded history of changes for watches. */
internal class StoredObjects {
    private val objects = sortedMapOf<String, StoredEntry>()
    private val history = ArrayDeque<Change>()

    /** @property before the object before the change; null if there was none */
    class Change(val revision: Long, val entry: StoredEntry, val removed: Boolean, val before: StoredEntry?)

    /** The revision of the latest change. */
    var revision: Long = 1
        private set

    /** The oldest revision from which a watch can resume. */
    var oldestRevision: Long = 1
        private set

    /** How often the store has come back from a copy, counted from the first era; 0 if it names none. */
    var era: Long = 0

    /** Comes back from a copy of [copied], an earlier revision: the later ones are lost, and given out again. */
    fun stepBack(copied: Long) {
        require(copied in oldestRevision..revision) { "no copy of revision $copied" }
        while (history.isNotEmpty() && history.last().revision > copied) {
            val change = history.removeLast()
            val path = "${change.entry.kind}/${change.entry.name}"
            val before = change.before
            if (before == null) objects.remove(path) else objects[path] = before
        }
        revision = copied
        era += 1
    }

    fun read(kind: String, name: String): StoredEntry? = objects["$kind/$name"]

    /** The objects of [kind] by name, those after the name [after] if it is not null. */
    fun list(kind: String, after: String? = null): List<StoredEntry> =
        objects.values.filter { it.kind == kind && (after == null || it.name > after) }

    fun create(kind: String, name: String, spec: JsonElement): WriteOutcome {
        read(kind, name)?.let { return WriteOutcome.Conflict(it) }
        return WriteOutcome.Success(put(StoredEntry(kind, name, revision + 1, revision, spec, JsonNull)))
    }

    /** Updates an object if its revision is [expected], or in any case if [expected] is null. */
    fun update(kind: String, name: String, expected: Long?, transform: (StoredEntry) -> StoredEntry): WriteOutcome {
        val current = read(kind, name) ?: return WriteOutcome.NotFound
        val updated = transform(current)
        return when {
            expected != null && expected != current.revision -> WriteOutcome.Conflict(current)
            updated == current -> WriteOutcome.Success(current)
            else -> WriteOutcome.Success(put(updated))
        }
    }

    fun remove(kind: String, name: String, expected: Long?): WriteOutcome {
        val current = read(kind, name)
        return when {
            current == null -> WriteOutcome.NotFound
            expected != null && expected != current.revision -> WriteOutcome.Conflict(current)
            else -> {
                revision += 1
                objects.remove("$kind/$name")
                record(Change(revision, current, removed = true, before = current))
                WriteOutcome.Success(current)
            }
        }
    }

    private fun put(entry: StoredEntry): StoredEntry {
        revision += 1
        val written = entry.copy(revision = revision)
        val before = objects.put("${entry.kind}/${entry.name}", written)
        record(Change(revision, written, removed = false, before))
        return written
    }

    private fun record(change: Change) {
        history.addLast(change)
        if (history.size > MAX_HISTORY_CHANGES) {
            oldestRevision = history.removeFirst().revision
        }
    }

    /** Discards the history, which forces watches of earlier revisions to list again. */
    fun forgetHistory() {
        history.clear()
        oldestRevision = revision
    }

    /** The changes of [kind] after [sinceRevision]. */
    fun changesSince(kind: String, sinceRevision: Long): List<Change> =
        history.filter { it.revision > sinceRevision && it.entry.kind == kind }
}
