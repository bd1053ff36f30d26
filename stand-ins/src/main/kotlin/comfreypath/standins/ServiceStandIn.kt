package comfreypath.standins

import com.github.michaelbull.result.fold
import comfreypath.openai.OpenAiHeaders
import comfreypath.transport.Address
import comfreypath.transport.HttpServer
import comfreypath.transport.HttpServerOptions
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter
import comfreypath.transport.decodeJson
import comfreypath.transport.respond
import comfreypath.transport.respondJson
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay

/** Simulates a plain service whose bookings must not run twice, and counts the runs of each receipt. */
class ServiceStandIn(loop: EventLoop) {
    private val server = HttpServer(loop, HttpServerOptions(), ::handle)
    private val runs = HashMap<String, Int>()
    private var faults = ServiceFaults()

    /** Listens on [address] and returns the bound address. */
    suspend fun start(address: Address): Address = server.start(address)

    /** Stops and aborts the requests in progress. */
    suspend fun stop() = server.stop()

    /** The counts since the start. */
    fun counts(): ServiceCounts = ServiceCounts(runs.toMap())

    /** Replaces the faults. */
    fun setFaults(newFaults: ServiceFaults) {
        faults = newFaults
    }

    private suspend fun handle(request: IncomingRequest, writer: ResponseWriter) {
        when {
            request.path == "/faults" -> handleFaults(request, writer)
            request.path == "/counts" -> writer.respondJson(HttpResponseStatus.OK, counts())
            request.method == HttpMethod.POST -> handleBooking(request, writer)
            else -> writer.respondJson(HttpResponseStatus.OK, ServiceCounts(mapOf("total" to runs.size)), echo(request))
        }
    }

    private fun echo(request: IncomingRequest): Map<String, String> =
        mapOf(OpenAiHeaders.REQUEST_ID to request.headers.get(OpenAiHeaders.REQUEST_ID).orEmpty())

    private suspend fun handleFaults(request: IncomingRequest, writer: ResponseWriter) {
        decodeJson<ServiceFaults>(request.text()).fold(
            success = {
                setFaults(it)
                writer.respondJson(HttpResponseStatus.OK, it)
            },
            failure = { writer.respond(HttpResponseStatus.BAD_REQUEST, emptyMap(), it.encodeToByteArray()) },
        )
    }

    private suspend fun handleBooking(request: IncomingRequest, writer: ResponseWriter) {
        if (faults.refuse) {
            val headers = echo(request) + (OpenAiHeaders.NOT_RUN to "true")
            writer.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, ByteArray(0))
            return
        }
        decodeJson<Booking>(request.text()).fold(
            success = { runBooking(it, request, writer) },
            failure = { writer.respond(HttpResponseStatus.BAD_REQUEST, echo(request), it.encodeToByteArray()) },
        )
    }

    private suspend fun runBooking(booking: Booking, request: IncomingRequest, writer: ResponseWriter) {
        runs.merge(booking.receipt, 1, Int::plus)
        val number = runs.size
        delay(faults.latencyMilliseconds)
        when {
            faults.cutAfterRun -> writer.abort()
            faults.silentAfterRun -> awaitCancellation()
            else -> writer.respondJson(
                HttpResponseStatus.OK,
                BookingConfirmation(booking.receipt, number),
                echo(request),
            )
        }
    }
}
