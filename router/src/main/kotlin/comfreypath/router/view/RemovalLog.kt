package comfreypath.router.view

import comfreypath.router.store.StoredObject

/** Covers the endpoints that come and go in the seconds for which a peer may be disconnected. */
private const val MAX_REMOVALS = 512

/** The most recent removals of objects, so that a peer can be sent the removals since a revision. */
class RemovalLog(private val capacity: Int = MAX_REMOVALS) {
    private class Removal(val name: String, val revision: Long)

    private val removals = ArrayDeque<Removal>()
    private var completeSince = Long.MAX_VALUE

    /** Clears the log; from now on it covers the removals after [revision]. */
    fun reset(revision: Long) {
        removals.clear()
        completeSince = revision
    }

    /** Records that the object [name] was removed at [revision] or earlier. */
    fun add(name: String, revision: Long) {
        removals.addLast(Removal(name, revision))
        if (removals.size > capacity) {
            completeSince = maxOf(completeSince, removals.removeFirst().revision)
        }
    }

    /** Records the removal of the [known] objects that are not in the list of [objects] at [revision]. */
    fun addMissing(known: Set<String>, objects: List<StoredObject<*>>, revision: Long) {
        val listed = objects.mapTo(HashSet()) { it.name }
        known.filter { it !in listed }.forEach { add(it, revision) }
    }

    /** The names of the objects removed after [revision], oldest first; null if not all of them are known. */
    fun since(revision: Long): List<String>? =
        if (revision < completeSince) null else removals.filter { it.revision > revision }.map { it.name }
}
