package comfreypath.standins

import com.github.michaelbull.result.fold
import comfreypath.transport.Address
import comfreypath.transport.HttpServer
import comfreypath.transport.HttpServerOptions
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter
import comfreypath.transport.decodeJson
import comfreypath.transport.respond
import comfreypath.transport.respondJson
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.awaitCancellation
import java.time.InstantSource

/**
 * Simulates a model engine with continuous batching, a prefix cache, cold starts and resumable streams. Faults can be
 * injected.
 */
class EngineStandIn(
    private val loop: EventLoop,
    private val options: EngineOptions = EngineOptions(),
    private val clock: InstantSource = InstantSource.system(),
) {
    private val server = HttpServer(loop, HttpServerOptions(), ::handle)
    private val batch = EngineBatch(loop, options, clock)
    private val completions = CompletionHandler(batch)

    /** Listens on [address] and returns the bound address. */
    suspend fun start(address: Address): Address = server.start(address)

    /** Stops and aborts the requests in progress. */
    suspend fun stop() {
        batch.stop()
        server.stop()
    }

    /** The number of completions in flight, including those that wait for a slot. */
    val inFlight: Int get() = batch.inFlight

    /** The counts since the start. */
    val counts: EngineCounts get() = batch.counts

    /** Replaces the faults. */
    fun setFaults(newFaults: EngineFaults) = batch.setFaults(newFaults)

    private suspend fun handle(request: IncomingRequest, writer: ResponseWriter) {
        if (batch.faults.silent && request.path != "/faults") {
            awaitCancellation()
        }
        when {
            request.path == "/v1/chat/completions" -> completions.handle(request, writer)
            else -> handleControl(request, writer)
        }
    }

    private suspend fun handleControl(request: IncomingRequest, writer: ResponseWriter) = when (request.path) {
        "/faults" -> handleFaults(request, writer)
        "/counts" -> writer.respondJson(HttpResponseStatus.OK, batch.counts)
        else -> writer.respond(HttpResponseStatus.NOT_FOUND, emptyMap(), ByteArray(0))
    }

    private suspend fun handleFaults(request: IncomingRequest, writer: ResponseWriter) {
        decodeJson<EngineFaults>(request.text()).fold(
            success = {
                batch.setFaults(it)
                writer.respondJson(HttpResponseStatus.OK, it)
            },
            failure = { writer.respond(HttpResponseStatus.BAD_REQUEST, emptyMap(), it.encodeToByteArray()) },
        )
    }
}
