package comfreypath.standins

import com.github.michaelbull.result.fold
import comfreypath.platform.StoreWire
import comfreypath.transport.Address
import comfreypath.transport.HttpServer
import comfreypath.transport.HttpServerOptions
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter
import comfreypath.transport.decodeJson
import comfreypath.transport.respondJson
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import org.apache.commons.rng.simple.RandomSource

private const val LARGEST_VALUE_BYTES = 1_048_576

/** A stand-in for the platform's metadata store. */
class ObjectStoreStandIn(loop: EventLoop, seed: Long = 1) {
    private val server = HttpServer(loop, HttpServerOptions(maxBodyBytes = 2 * LARGEST_VALUE_BYTES), ::handle)
    private val objects = StoredObjects()
    private var faults = StoreFaults()
    private val calls = StoreCalls(objects, RandomSource.SPLIT_MIX_64.create(seed)) { faults.loseAnswersPercent }
    private val watch = StoreWatch(objects) { faults.silentWatches || faults.outage }

    /** Listens on [address] and returns the address in use. */
    suspend fun start(address: Address): Address = server.start(address)

    /** Stops, cutting what is in progress. */
    suspend fun stop() = server.stop()

    /** The calls counted so far. */
    fun counts(): StoreCounts = calls.counts

    /** Replaces the faults. */
    fun setFaults(newFaults: StoreFaults) {
        faults = newFaults
        if (newFaults.forgetHistory) {
            objects.forgetHistory()
        }
    }

    private suspend fun handle(request: IncomingRequest, writer: ResponseWriter) {
        when {
            request.path == "/faults" -> handleFaults(request, writer)
            request.path == "/counts" -> writer.respondJson(HttpResponseStatus.OK, calls.counts)
            request.path.startsWith(StoreWire.OBJECTS_PATH) ->
                call(request.path.removePrefix(StoreWire.OBJECTS_PATH).trim('/').split('/'), request, writer)
            else -> writer.status(HttpResponseStatus.NOT_FOUND)
        }
    }

    private suspend fun handleFaults(request: IncomingRequest, writer: ResponseWriter) {
        decodeJson<StoreFaults>(request.text()).fold(
            success = {
                setFaults(it)
                writer.respondJson(HttpResponseStatus.OK, it)
            },
            failure = { writer.status(HttpResponseStatus.BAD_REQUEST) },
        )
    }

    private suspend fun call(parts: List<String>, request: IncomingRequest, writer: ResponseWriter) {
        if (faults.outage) {
            awaitCancellation()
        }
        delay(faults.latencyMilliseconds)
        val kind = parts.first()
        val watchFrom = request.queryParameter(StoreWire.WATCH_REVISION)?.toLongOrNull()
        when {
            faults.refuse -> writer.status(HttpResponseStatus.SERVICE_UNAVAILABLE)
            request.method != HttpMethod.GET -> calls.write(kind, parts.drop(1), request, writer)
            watchFrom != null -> follow(kind, watchFrom, request, writer)
            parts.size == 1 -> calls.list(kind, request, writer)
            else -> calls.read(kind, parts[1], writer)
        }
    }

    private suspend fun follow(kind: String, from: Long, request: IncomingRequest, writer: ResponseWriter) {
        calls.countWatch()
        watch.run(kind, from, request.queryParameter(StoreWire.WAIT_MILLISECONDS)?.toLongOrNull() ?: 0, writer)
    }
}
