package comfreypath.standins

import comfreypath.platform.StoreWire
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject

private const val HISTORY = 4_096

/** An object of the store, and its kind. */
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
    /** The object as the store shows it. */
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

/** What came of a write. */
internal sealed interface WriteOutcome {
    data class Done(val entry: StoredEntry) : WriteOutcome
    data class Conflict(val entry: StoredEntry) : WriteOutcome
    data object Missing : WriteOutcome
}

/** The versioned objects of an object store stand-in, with a bounded history for watches. */
internal class StoredObjects {
    private val objects = sortedMapOf<String, StoredEntry>()
    private val history = ArrayDeque<Recorded>()

    class Recorded(val revision: Long, val entry: StoredEntry, val removed: Boolean)

    /** The revision of the last change. */
    var revision: Long = 1
        private set

    /** The oldest revision from which a watch can go on. */
    var oldest: Long = 1
        private set

    fun read(kind: String, name: String): StoredEntry? = objects["$kind/$name"]

    /** The objects of a kind, from the name [after] on. */
    fun list(kind: String, after: String? = null): List<StoredEntry> =
        objects.values.filter { it.kind == kind && (after == null || it.name > after) }

    fun create(kind: String, name: String, spec: JsonElement): WriteOutcome {
        read(kind, name)?.let { return WriteOutcome.Conflict(it) }
        return WriteOutcome.Done(put(StoredEntry(kind, name, revision + 1, revision, spec, JsonNull)))
    }

    /** Changes an object whose revision is [expected], unless that is null. */
    fun change(kind: String, name: String, expected: Long?, change: (StoredEntry) -> StoredEntry): WriteOutcome {
        val known = read(kind, name) ?: return WriteOutcome.Missing
        val changed = change(known)
        return when {
            expected != null && expected != known.revision -> WriteOutcome.Conflict(known)
            changed == known -> WriteOutcome.Done(known)
            else -> WriteOutcome.Done(put(changed))
        }
    }

    fun remove(kind: String, name: String, expected: Long?): WriteOutcome {
        val known = read(kind, name)
        return when {
            known == null -> WriteOutcome.Missing
            expected != null && expected != known.revision -> WriteOutcome.Conflict(known)
            else -> {
                revision += 1
                objects.remove("$kind/$name")
                record(Recorded(revision, known, removed = true))
                WriteOutcome.Done(known)
            }
        }
    }

    private fun put(entry: StoredEntry): StoredEntry {
        revision += 1
        val written = entry.copy(revision = revision)
        objects["${entry.kind}/${entry.name}"] = written
        record(Recorded(revision, written, removed = false))
        return written
    }

    private fun record(recorded: Recorded) {
        history.addLast(recorded)
        if (history.size > HISTORY) {
            oldest = history.removeFirst().revision
        }
    }

    /** Forgets the history, so that watches from before must list again. */
    fun forgetHistory() {
        history.clear()
        oldest = revision
    }

    /** The changes of [kind] after [after]. */
    fun since(kind: String, after: Long): List<Recorded> =
        history.filter { it.revision > after && it.entry.kind == kind }
}
