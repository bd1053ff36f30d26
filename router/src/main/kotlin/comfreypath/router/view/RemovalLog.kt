package comfreypath.router.view

/** Removals are as many as servers come and go within the seconds for which a peer may be cut off. */
private const val MAX_REMOVALS = 512

/** The objects that were removed lately, so that a peer can be told of the removals since a revision. */
class RemovalLog(private val capacity: Int = MAX_REMOVALS) {
    private class Removal(val name: String, val revision: Long)

    private val removals = ArrayDeque<Removal>()
    private var completeSince = Long.MAX_VALUE

    /** Starts with a list that held at [revision]. */
    fun reset(revision: Long) {
        removals.clear()
        completeSince = revision
    }

    /** Takes in that the object called [name] was removed at [revision] at the latest. */
    fun add(name: String, revision: Long) {
        removals.addLast(Removal(name, revision))
        if (removals.size > capacity) {
            completeSince = maxOf(completeSince, removals.removeFirst().revision)
        }
    }

    /** The names of the objects that were removed after [revision]; null when not all of these are known. */
    fun since(revision: Long): List<String>? =
        if (revision < completeSince) null else removals.filter { it.revision > revision }.map { it.name }
}
