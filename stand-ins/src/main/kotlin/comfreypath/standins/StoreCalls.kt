package comfreypath.standins

import com.github.michaelbull.result.fold
import comfreypath.protocols.PlatformObject
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter
import comfreypath.transport.whole
import comfreypath.transport.decodeJson
import comfreypath.transport.json
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import org.apache.commons.rng.UniformRandomProvider

private const val LARGEST_VALUE_BYTES = 1_048_576
private const val PERCENT = 100

/** The reads and writes of an object store stand-in. */
internal class StoreCalls(
    private val objects: StoredObjects,
    private val random: UniformRandomProvider,
    private val loseAnswersPercent: () -> Int,
) {
    /** The calls counted so far. */
    var counts = StoreCounts()
        private set

    fun countWatch() {
        counts = counts.copy(watches = counts.watches + 1)
    }

    suspend fun list(kind: String, writer: ResponseWriter) {
        counts = counts.copy(reads = counts.reads + 1)
        writer.json(HttpResponseStatus.OK, objects.list(kind))
    }

    suspend fun read(kind: String, name: String, writer: ResponseWriter) {
        counts = counts.copy(reads = counts.reads + 1)
        val found = objects.read(kind, name)
        if (found == null) {
            writer.status(HttpResponseStatus.NOT_FOUND)
        } else {
            writer.json(HttpResponseStatus.OK, found)
        }
    }

    suspend fun write(kind: String, name: String?, request: IncomingRequest, writer: ResponseWriter) {
        counts = counts.copy(writes = counts.writes + 1)
        if (request.body.size > LARGEST_VALUE_BYTES) {
            writer.status(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        }
        val written = if (request.method == HttpMethod.DELETE && name != null) {
            objects.delete(kind, name, request.query("resourceVersion"))
        } else {
            decodeJson<PlatformObject>(request.text()).fold(
                success = { objects.write(kind, it.metadata.name, it.metadata.resourceVersion, it.spec) },
                failure = { null },
            )
        }
        answerWrite(written, writer)
    }

    private suspend fun answerWrite(written: PlatformObject?, writer: ResponseWriter) {
        if (written == null) {
            counts = counts.copy(conflicts = counts.conflicts + 1)
            writer.status(HttpResponseStatus.CONFLICT)
            return
        }
        if (random.nextInt(PERCENT) < loseAnswersPercent()) {
            writer.abort()
            return
        }
        writer.json(HttpResponseStatus.OK, written)
    }
}

internal suspend fun ResponseWriter.status(status: HttpResponseStatus) = whole(status, emptyMap(), ByteArray(0))
