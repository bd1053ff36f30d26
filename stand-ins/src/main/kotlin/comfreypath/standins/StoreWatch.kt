package comfreypath.standins

import comfreypath.platform.StoreWire
import comfreypath.transport.ResponseWriter
import comfreypath.transport.respondJson
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject

private const val POLL_MILLISECONDS = 10L

/** A watch of an object store stand-in: it answers as soon as there is a change, or after a wait without one. */
internal class StoreWatch(private val objects: StoredObjects, private val silent: () -> Boolean) {
    private fun nothingNew(kind: String, after: Long) =
        after >= objects.oldest && objects.since(kind, after).isEmpty()

    suspend fun run(kind: String, after: Long, waitMilliseconds: Long, writer: ResponseWriter) {
        var waited = 0L
        while (silent() || waited < waitMilliseconds && nothingNew(kind, after)) {
            delay(POLL_MILLISECONDS)
            waited += POLL_MILLISECONDS
        }
        if (after < objects.oldest) {
            writer.status(HttpResponseStatus.GONE)
            return
        }
        val events = objects.since(kind, after).map { recorded ->
            buildJsonObject {
                put(StoreWire.OBJECT, recorded.entry.document())
                put(StoreWire.REMOVED, JsonPrimitive(recorded.removed))
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
