package comfreypath.standins

import comfreypath.protocols.ObjectMetadata
import comfreypath.protocols.PlatformObject
import comfreypath.protocols.PlatformWatchEvent
import comfreypath.protocols.WatchEventType
import comfreypath.protocols.wireJson
import comfreypath.transport.ResponseWriter
import comfreypath.transport.start
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject

private const val POLL_MILLISECONDS = 10L
private const val POLLS_PER_BOOKMARK = 50

/** A watch of an object store stand-in: changes as they come, and bookmarks in between. */
internal class StoreWatch(private val objects: StoredObjects, private val silent: () -> Boolean) {
    suspend fun run(kind: String, after: Long, writer: ResponseWriter) {
        if (after < objects.oldest) {
            writer.status(HttpResponseStatus.GONE)
            return
        }
        writer.start(HttpResponseStatus.OK, mapOf("content-type" to "application/json"))
        var seen = after
        var polls = 0
        while (true) {
            delay(POLL_MILLISECONDS)
            polls += 1
            if (!silent()) {
                val events = objects.since(kind, seen)
                seen = objects.revision
                events.forEach { send(it, writer) }
                if (polls % POLLS_PER_BOOKMARK == 0) {
                    send(bookmark(kind, seen), writer)
                }
            }
        }
    }

    private fun bookmark(kind: String, revision: Long): PlatformWatchEvent {
        val metadata = ObjectMetadata(name = "", resourceVersion = revision.toString())
        return PlatformWatchEvent(WatchEventType.BOOKMARK, PlatformObject(kind, metadata, JsonObject(emptyMap())))
    }

    private suspend fun send(event: PlatformWatchEvent, writer: ResponseWriter) =
        writer.piece((wireJson.encodeToString(event) + "\n").encodeToByteArray())
}
