package comfreypath.standins

import com.github.michaelbull.result.fold
import comfreypath.protocols.CacheEvents
import comfreypath.protocols.EndpointOrder
import comfreypath.protocols.EndpointState
import comfreypath.protocols.EngineLoad
import comfreypath.transport.Address
import comfreypath.transport.HttpServer
import comfreypath.transport.HttpServerOptions
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter
import comfreypath.transport.whole
import comfreypath.transport.decodeJson
import comfreypath.transport.json
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.awaitCancellation
import java.time.InstantSource

/**
 * A stand-in for a model engine: continuous batching, a prefix cache, cold starts, resume and cancel, load reports,
 * cache events, orders with a fencing number, and faults.
 */
class EngineStandIn(
    private val loop: EventLoop,
    private val options: EngineOptions = EngineOptions(),
    private val clock: InstantSource = InstantSource.system(),
) {
    private val server = HttpServer(loop, HttpServerOptions(), ::handle)
    private val batch = EngineBatch(loop, options, clock)
    private val streams = EngineStreams(batch)
    private var state = EndpointState(version = options.version, fencing = 0)

    /** Listens on [address] and returns the address in use. */
    suspend fun start(address: Address): Address = server.start(address)

    /** Stops, cutting what is in progress. */
    suspend fun stop() {
        batch.stop()
        server.stop()
    }

    /** The completions that the engine works on now. */
    val inFlight: Int get() = batch.inFlight

    /** What the engine has seen so far. */
    val counts: EngineCounts get() = batch.counts

    /** Replaces the faults. */
    fun set(wanted: EngineFaults) = batch.set(wanted)

    private suspend fun handle(request: IncomingRequest, writer: ResponseWriter) {
        if (batch.faults.silent && request.path != "/faults") {
            awaitCancellation()
        }
        val parts = request.path.trim('/').split('/')
        val completion = parts.getOrNull(COMPLETION_PART).orEmpty()
        when {
            request.path == "/v1/chat/completions" -> streams.complete(request, writer)
            parts.last() == "resume" -> streams.resume(completion, request, writer)
            parts.last() == "cancel" -> cancel(completion, writer)
            else -> control(request, writer)
        }
    }

    private suspend fun control(request: IncomingRequest, writer: ResponseWriter) = when (request.path) {
        "/load" -> writer.json(HttpResponseStatus.OK, load())
        "/cache-events" -> writer.json(HttpResponseStatus.OK, cacheEvents(request))
        "/state" -> writer.json(HttpResponseStatus.OK, state)
        "/orders" -> order(request, writer)
        "/faults" -> setFaults(request, writer)
        "/counts" -> writer.json(HttpResponseStatus.OK, batch.counts)
        else -> writer.whole(HttpResponseStatus.NOT_FOUND, emptyMap(), ByteArray(0))
    }

    private suspend fun cancel(id: String, writer: ResponseWriter) {
        batch.cancel(id)
        writer.whole(HttpResponseStatus.OK, emptyMap(), ByteArray(0))
    }

    private fun load() = EngineLoad(batch.inFlight, batch.isCold(), batch.cacheLog.heldTokens)

    private fun cacheEvents(request: IncomingRequest): CacheEvents {
        val after = request.query("after")?.toLongOrNull() ?: 0
        return CacheEvents(batch.cacheLog.events.filter { it.sequence > after })
    }

    private suspend fun order(request: IncomingRequest, writer: ResponseWriter) {
        decodeJson<EndpointOrder>(request.text()).fold(
            success = { order ->
                val obsolete = order.fencing < state.fencing
                if (!obsolete) {
                    state = EndpointState(order.version, order.fencing)
                }
                writer.json(if (obsolete) HttpResponseStatus.CONFLICT else HttpResponseStatus.OK, state)
            },
            failure = { writer.whole(HttpResponseStatus.BAD_REQUEST, emptyMap(), it.encodeToByteArray()) },
        )
    }

    private suspend fun setFaults(request: IncomingRequest, writer: ResponseWriter) {
        decodeJson<EngineFaults>(request.text()).fold(
            success = {
                batch.set(it)
                writer.json(HttpResponseStatus.OK, it)
            },
            failure = { writer.whole(HttpResponseStatus.BAD_REQUEST, emptyMap(), it.encodeToByteArray()) },
        )
    }

    private companion object {
        const val COMPLETION_PART = 2
    }
}
