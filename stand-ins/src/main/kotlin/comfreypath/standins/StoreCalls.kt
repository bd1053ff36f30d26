package comfreypath.standins

import com.github.michaelbull.result.fold
import comfreypath.platform.StoreWire
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter
import comfreypath.transport.decodeJson
import comfreypath.transport.respond
import comfreypath.transport.respondJson
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.longOrNull
import org.apache.commons.rng.UniformRandomProvider

private const val MAX_VALUE_BYTES = 1_048_576
private const val PERCENT = 100
private const val PAGE_SIZE = 50

/** Handles the reads and writes of an object store stand-in, and counts its calls. */
internal class StoreCalls(
    private val objects: StoredObjects,
    private val random: UniformRandomProvider,
    private val lostResponsePercent: () -> Int,
) {
    /** The counts of calls since the start. */
    var counts = StoreCounts()
        private set

    fun recordWatch() {
        counts = counts.copy(watches = counts.watches + 1)
    }

    suspend fun list(kind: String, request: IncomingRequest, writer: ResponseWriter) {
        counts = counts.copy(reads = counts.reads + 1)
        val found = objects.list(kind, request.queryParameter(StoreWire.LIST_AFTER))
        writer.respondJson(
            HttpResponseStatus.OK,
            buildJsonObject {
                put(StoreWire.ITEMS, JsonArray(found.take(PAGE_SIZE).map { it.document() }))
                put(StoreWire.MORE_PAGES, JsonPrimitive(found.size > PAGE_SIZE))
                put(StoreWire.STORE_REVISION, JsonPrimitive(objects.revision))
            },
        )
    }

    suspend fun read(kind: String, name: String, writer: ResponseWriter) {
        counts = counts.copy(reads = counts.reads + 1)
        val found = objects.read(kind, name)
        if (found == null) {
            writer.respondStatus(
                HttpResponseStatus.NOT_FOUND
            )
        } else {
            writer.respondJson(HttpResponseStatus.OK, found.document())
        }
    }

    suspend fun write(kind: String, path: List<String>, request: IncomingRequest, writer: ResponseWriter) {
        counts = counts.copy(writes = counts.writes + 1)
        if (request.body.size > MAX_VALUE_BYTES) {
            writer.respondStatus(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        }
        val name = path.firstOrNull()
        if (request.method == HttpMethod.DELETE && name != null) {
            respondWrite(objects.remove(kind, name, request.queryParameter(StoreWire.REVISION)?.toLongOrNull()), writer)
            return
        }
        decodeJson<JsonObject>(request.text()).fold(
            success = { respondWrite(applyWrite(kind, path, it), writer) },
            failure = { writer.respondStatus(HttpResponseStatus.BAD_REQUEST) },
        )
    }

    private fun applyWrite(kind: String, path: List<String>, document: JsonObject): WriteOutcome {
        val metadata = document[StoreWire.METADATA] as? JsonObject ?: JsonObject(emptyMap())
        val expected = (metadata[StoreWire.REVISION] as? JsonPrimitive)?.longOrNull
        val spec = document[StoreWire.SPEC] ?: JsonNull
        val status = document[StoreWire.STATUS] ?: JsonNull
        val name = path.firstOrNull()
        return when {
            name == null -> objects.create(kind, (metadata[StoreWire.NAME] as JsonPrimitive).content, spec)
            path.getOrNull(1) == StoreWire.STATUS_PATH ->
                objects.update(kind, name, expected) { it.copy(status = status) }
            else -> objects.update(kind, name, expected) { it.copy(spec = spec) }
        }
    }

    private suspend fun respondWrite(outcome: WriteOutcome, writer: ResponseWriter) {
        val lost = random.nextInt(PERCENT) < lostResponsePercent()
        when {
            outcome is WriteOutcome.Conflict -> {
                counts = counts.copy(conflicts = counts.conflicts + 1)
                writer.respondJson(HttpResponseStatus.CONFLICT, outcome.entry.document())
            }
            outcome is WriteOutcome.NotFound -> writer.respondStatus(HttpResponseStatus.NOT_FOUND)
            lost -> writer.abort()
            outcome is WriteOutcome.Success -> writer.respondJson(HttpResponseStatus.OK, outcome.entry.document())
        }
    }
}

internal suspend fun ResponseWriter.respondStatus(status: HttpResponseStatus) =
    respond(status, emptyMap(), ByteArray(0))
