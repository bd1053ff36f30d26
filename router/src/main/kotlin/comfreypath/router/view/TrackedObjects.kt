package comfreypath.router.view

import comfreypath.router.store.StoredObject

/** The versions and documents of the objects of one kind, and the latest removals. */
internal class TrackedObjects {
    /** The store version of each object's last change, by name. */
    val revisions = HashMap<String, Long>()

    /** The objects as the store wrote them, by name. */
    val documents = HashMap<String, String>()

    /** The latest removals. */
    val removals = RemovalLog()

    /** Replaces all objects by [objects]. */
    fun replace(objects: List<StoredObject<*>>) {
        revisions.clear()
        documents.clear()
        objects.forEach(::put)
    }

    /** Adds or replaces an object. */
    fun put(stored: StoredObject<*>) {
        revisions[stored.name] = stored.revision
        documents[stored.name] = stored.document
    }

    /** Removes the object called [name], at [revision]. */
    fun remove(name: String, revision: Long) {
        revisions.remove(name)
        documents.remove(name)
        removals.add(name, revision)
    }
}
