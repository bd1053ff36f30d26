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
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.JsonUnquotedLiteral
import org.apache.commons.rng.simple.RandomSource

private const val MAX_VALUE_BYTES = 1_048_576

/** Simulates the platform's object store, with fault injection. [seed] determines which responses are lost. */
class ObjectStoreStandIn(loop: EventLoop, seed: Long = 1) {
    private val server = HttpServer(loop, HttpServerOptions(maxBodyBytes = 2 * MAX_VALUE_BYTES), ::handle)
    private val objects = StoredObjects()
    private var faults = StoreFaults()
    private val calls = StoreCalls(objects, RandomSource.SPLIT_MIX_64.create(seed)) { faults.loseAnswersPercent }
    private val watch = StoreWatch(objects) { faults.silentWatches || faults.outage }

    /** Listens on [address] and returns the bound address. */
    suspend fun start(address: Address): Address = server.start(address)

    /** The revision of the latest change. */
    val revision: Long get() = objects.revision

    /** The names of the objects of [kind]. */
    fun names(kind: String): List<String> = objects.list(kind).map { it.name }

    /** Stops and aborts the calls in progress. */
    suspend fun stop() = server.stop()

    /** The counts of calls since the start. */
    fun counts(): StoreCounts = calls.counts

    /** Replaces the faults. */
    fun setFaults(newFaults: StoreFaults) {
        faults = newFaults
        if (newFaults.forgetHistory) {
            objects.forgetHistory()
        }
        objects.era = maxOf(objects.era, newFaults.firstEra)
        if (newFaults.stepBackTo > 0) {
            objects.stepBack(newFaults.stepBackTo)
        }
    }

    /** Creates or replaces an object as another writer does; [spec] appears unchanged in all responses. */
    @OptIn(ExperimentalSerializationApi::class)
    fun put(kind: String, name: String, spec: String) {
        val literal = JsonUnquotedLiteral(spec)
        if (objects.create(kind, name, literal) is WriteOutcome.Conflict) {
            objects.update(kind, name, expected = null) { it.copy(spec = literal) }
        }
    }

    private suspend fun handle(request: IncomingRequest, writer: ResponseWriter) {
        when {
            request.path == "/faults" -> handleFaults(request, writer)
            request.path == "/counts" -> writer.respondJson(HttpResponseStatus.OK, calls.counts)
            request.path.startsWith(StoreWire.OBJECTS_PATH) ->
                handleCall(request.path.removePrefix(StoreWire.OBJECTS_PATH).trim('/').split('/'), request, writer)
            else -> writer.respondStatus(HttpResponseStatus.NOT_FOUND)
        }
    }

    private suspend fun handleFaults(request: IncomingRequest, writer: ResponseWriter) {
        decodeJson<StoreFaults>(request.text()).fold(
            success = {
                setFaults(it)
                writer.respondJson(HttpResponseStatus.OK, it)
            },
            failure = { writer.respondStatus(HttpResponseStatus.BAD_REQUEST) },
        )
    }

    private suspend fun handleCall(parts: List<String>, request: IncomingRequest, plainWriter: ResponseWriter) {
        val writer = EraNamingWriter(plainWriter) { faults.namedEra ?: objects.era }
        val kind = parts.first()
        if (faults.outage || faults.silentKind == kind) {
            awaitCancellation()
        }
        delay(faults.latencyMilliseconds)
        val sinceRevision = request.queryParameter(StoreWire.WATCH_REVISION)?.toLongOrNull()
        when {
            faults.refuse -> writer.respondStatus(HttpResponseStatus.SERVICE_UNAVAILABLE)
            request.method != HttpMethod.GET -> calls.write(kind, parts.drop(1), request, writer)
            sinceRevision != null -> handleWatch(kind, sinceRevision, request, writer)
            parts.size == 1 -> calls.list(kind, request, writer)
            else -> calls.read(kind, parts[1], writer)
        }
    }

    private suspend fun handleWatch(kind: String, since: Long, request: IncomingRequest, writer: ResponseWriter) {
        calls.recordWatch()
        watch.run(kind, since, request.queryParameter(StoreWire.WAIT_MILLISECONDS)?.toLongOrNull() ?: 0, writer)
    }
}
