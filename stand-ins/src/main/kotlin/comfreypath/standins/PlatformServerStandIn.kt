package comfreypath.standins

import comfreypath.platform.PlatformHeaders
import comfreypath.transport.Address
import comfreypath.transport.HttpServer
import comfreypath.transport.HttpServerOptions
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter
import comfreypath.transport.respond
import comfreypath.transport.start
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay

private const val TOKENS_PER_EVENT = 7
private const val LARGEST_BODY_BYTES = 8_388_608

/**
 * What a server stand-in does wrong.
 *
 * @property refuse refuses every request as not run
 * @property failing answers every request with status 500
 * @property silent runs requests and answers nothing
 * @property abortAfterEvents breaks each stream off after so many events; null for never
 * @property abortResponses runs whole requests and closes the connection without an answer
 * @property unsigned leaves out the signature of answers
 * @property workMilliseconds how long a plain server works on a request; null for its usual time
 * @property truncateEvent breaks streams off in the middle of the next event
 */
data class PlatformServerFaults(
    val refuse: Boolean = false,
    val failing: Boolean = false,
    val silent: Boolean = false,
    val abortAfterEvents: Int? = null,
    val abortResponses: Boolean = false,
    val truncateEvent: Boolean = false,
    val unsigned: Boolean = false,
    val workMilliseconds: Long? = null,
)

/** A request as a server stand-in saw it. */
class ReceivedRequest(val id: String, val request: IncomingRequest, val ran: Boolean)

/**
 * A stand-in for one of the platform's servers: model engines answer requests that carry a prompt with a stream of
 * events, plain servers answer with a whole body.
 *
 * @property name the name under which the server is registered
 */
class PlatformServerStandIn(
    loop: EventLoop,
    val name: String,
    private val eventMilliseconds: Long = 2,
    private val workMilliseconds: Long = 2,
) {
    private val server = HttpServer(loop, HttpServerOptions(maxBodyBytes = LARGEST_BODY_BYTES), ::handle)
    private val requests = mutableListOf<ReceivedRequest>()
    private var faults = PlatformServerFaults()
    private var inFlight = 0

    /** The requests seen so far, in the order of their arrival. */
    val receivedRequests: List<ReceivedRequest> get() = requests.toList()

    /** Listens on [address] and returns the address in use. */
    suspend fun start(address: Address): Address = server.start(address)

    /** Stops, cutting what is in progress. */
    suspend fun stop() = server.stop()

    /** Replaces the faults. */
    fun setFaults(newFaults: PlatformServerFaults) {
        faults = newFaults
    }

    private suspend fun handle(request: IncomingRequest, writer: ResponseWriter) {
        val id = request.headers.get(PlatformHeaders.REQUEST_ID).orEmpty()
        val expected = request.headers.get(PlatformHeaders.EXPECTED_ENDPOINT)
        val misdirected = expected != null && expected != name
        requests += ReceivedRequest(id, request, ran = !misdirected && !faults.refuse)
        when {
            misdirected -> writer.respond(
                HttpResponseStatus.MISDIRECTED_REQUEST,
                mapOf(PlatformHeaders.ENDPOINT to name),
                ByteArray(0),
            )
            faults.refuse -> writer.respond(
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                mapOf(PlatformHeaders.NOT_RUN to "1", PlatformHeaders.REQUEST_ID to id),
                ByteArray(0),
            )
            else -> run(request, id, writer)
        }
    }

    private suspend fun run(request: IncomingRequest, id: String, writer: ResponseWriter) {
        inFlight += 1
        try {
            if (faults.silent) {
                awaitCancellation()
            }
            val headers = mapOf(
                PlatformHeaders.REQUEST_ID to id,
                PlatformHeaders.LOAD to "$inFlight,0,64",
                "Keep-Alive" to "timeout=5",
            ) + if (faults.unsigned) emptyMap() else mapOf(PlatformHeaders.SIGNATURE to signature(id))
            when {
                faults.failing -> writer.respond(
                    HttpResponseStatus.INTERNAL_SERVER_ERROR,
                    headers,
                    "failed".encodeToByteArray()
                )
                request.headers.contains(PlatformHeaders.MODEL) -> stream(request, id, headers, writer)
                else -> answer(id, headers, writer)
            }
        } finally {
            inFlight -= 1
        }
    }

    private suspend fun answer(id: String, headers: Map<String, String>, writer: ResponseWriter) {
        delay(faults.workMilliseconds ?: workMilliseconds)
        if (faults.abortResponses) writer.abort() else writer.respond(HttpResponseStatus.OK, headers, responseBody(id))
    }

    private suspend fun stream(
        request: IncomingRequest,
        id: String,
        headers: Map<String, String>,
        writer: ResponseWriter,
    ) {
        val first = (request.headers.get(PlatformHeaders.LAST_EVENT_ID)?.toIntOrNull() ?: 0) + 1
        val last = eventCount(request)
        writer.start(HttpResponseStatus.OK, headers + ("Content-Type" to "text/event-stream"))
        for (number in first..last) {
            delay(eventMilliseconds)
            if (number - first >= (faults.abortAfterEvents ?: last)) {
                if (faults.truncateEvent) writer.writeChunk("id: $number\nda".encodeToByteArray())
                delay(eventMilliseconds)
                writer.abort()
                return
            }
            writer.writeChunk(event(id, number))
        }
        writer.end()
    }

    companion object {
        /** The signature of the answer to the request called [id]. */
        fun signature(id: String): String = "seal-$id"

        /** The body of a plain server's answer to the request called [id]. */
        fun responseBody(id: String): ByteArray = "answer to $id".encodeToByteArray()

        /** One event of the answer to the request called [id]. */
        fun event(id: String, number: Int): ByteArray = "id: $number\ndata: $id piece $number\n\n".encodeToByteArray()

        /** The number of events of the answer to [request]. */
        fun eventCount(request: IncomingRequest): Int =
            eventCount(request.headers.get(PlatformHeaders.TOKEN_COUNTS).orEmpty())

        /** The number of events for the value of the tokens' header. */
        fun eventCount(tokens: String): Int =
            ((tokens.substringAfter(',').toIntOrNull() ?: 1) + TOKENS_PER_EVENT - 1) / TOKENS_PER_EVENT
    }
}
