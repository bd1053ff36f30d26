package comfreypath.standins

import comfreypath.platform.StoreWire
import comfreypath.transport.ResponseWriter
import comfreypath.transport.respondJson
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject

private const val POLL_INTERVAL_MILLISECONDS = 10L

/** Handles the watches of an object store stand-in as long polls: each responds on a change or after a timeout. */
internal class StoreWatch(private val objects: StoredObjects, private val silent: () -> Boolean) {
    private fun unchanged(kind: String, sinceRevision: Long) =
        sinceRevision in objects.oldestRevision..objects.revision && objects.changesSince(kind, sinceRevision).isEmpty()

    suspend fun run(kind: String, sinceRevision: Long, waitMilliseconds: Long, writer: ResponseWriter) {
        var waitedMilliseconds = 0L
        while (silent() || waitedMilliseconds < waitMilliseconds && unchanged(kind, sinceRevision)) {
            delay(POLL_INTERVAL_MILLISECONDS)
            waitedMilliseconds += POLL_INTERVAL_MILLISECONDS
        }
        if (sinceRevision !in objects.oldestRevision..objects.revision) {
            writer.respondStatus(HttpResponseStatus.GONE)
            return
        }
        val events = objects.changesSince(kind, sinceRevision).map { change ->
            buildJsonObject {
                put(StoreWire.OBJECT, change.entry.document())
                put(StoreWire.REMOVED, JsonPrimitive(change.removed))
            }
        }
        writer.respondJson(
            HttpResponseStatus.OK,
            buildJsonObject {
                put(StoreWire.EVENTS, JsonArray(events))
                put(StoreWire.STORE_REVISION, JsonPrimitive(objects.revision))
            },
        )
    }
}
