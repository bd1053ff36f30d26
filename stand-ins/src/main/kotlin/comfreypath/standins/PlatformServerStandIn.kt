package comfreypath.standins

import comfreypath.platform.PlatformHeaders
import comfreypath.transport.Address
import comfreypath.transport.HttpServer
import comfreypath.transport.HttpServerOptions
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter
import comfreypath.transport.dispatcher
import comfreypath.transport.respond
import comfreypath.transport.start
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import kotlin.math.roundToLong

private const val TOKENS_PER_EVENT = 7
private const val RESTART_MILLISECONDS = 2_200L
private const val SLOTS = 64
private const val PERCENT = 100.0
private const val MAX_PACE = 1_000.0

/** The paces, in percent, at which a stand-in works; it tells others without working at them. */
private val PACES = 1.0..MAX_PACE
private const val MAX_BODY_BYTES = 8_388_608

/**
 * The faults that a platform server stand-in injects.
 *
 * @property refuse refuses every request as not run, with status 503
 * @property failing runs requests but responds with status 500
 * @property silent runs requests but sends no response
 * @property abortAfterEvents aborts each stream after this many events; null for never
 * @property abortResponses runs requests to a plain server but closes the connection without a response
 * @property unsigned omits the signature of responses
 * @property workMilliseconds the time that a plain server takes for a request; null for its default
 * @property eventMilliseconds the time that an engine takes for an event; null for its default
 * @property crashingPart crashes the server when it begins to respond to a request whose prompt has the part with this
 * ID, unless it is the last one: it loses all its connections and refuses new ones for a time; null for never
 * @property truncateEvent makes [abortAfterEvents] abort streams in the middle of the next event
 * @property endAborted makes [abortAfterEvents] end streams with their last chunk instead of closing the connection
 * @property failResumed responds with status 500 to requests that resume a stream
 * @property leaving announces in all responses that the server leaves; it keeps serving
 * @property retryAfter the `Retry-After` value of the refusal with which a request begins a pause for its sender, which
 * lasts for that many seconds; a value that is no such number begins none. Null to begin no more pauses
 * @property rateLimit the `Server-Limit` value that all responses name; null to name none. Nothing is refused for it
 * @property pace the fourth figure of the load in all responses, in percent; also work takes that many times longer.
 * Null to tell three figures
 * @property pauseAfterEvents makes each new stream pause once after this many events, for [pauseMilliseconds]
 * @property pauseMilliseconds how long a stream pauses after [pauseAfterEvents]
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
    val endAborted: Boolean = false,
    val failResumed: Boolean = false,
    val pauseAfterEvents: Int? = null,
    val pauseMilliseconds: Long = 0,
    val eventMilliseconds: Long? = null,
    val crashingPart: String? = null,
    val leaving: Boolean = false,
    val retryAfter: String? = null,
    val rateLimit: String? = null,
    val pace: String? = null,
)

/**
 * A request that a platform server stand-in received.
 *
 * @property sender who sent it, as far as the stand-in can tell
 * @property ran whether it ran
 * @property faults the faults when it arrived, which its response shows
 */
class ReceivedRequest(
    val id: String,
    val request: IncomingRequest,
    val sender: String,
    val receivedAt: Instant,
    val ran: Boolean,
    val faults: PlatformServerFaults,
) {
    /** Whether its response announced that the server leaves. */
    val leaving: Boolean get() = faults.leaving
}

/**
 * Simulates one of the platform's servers. It streams events in response to requests with a model header, like a model
 * engine, and responds to other requests with a whole body, like a plain server.
 *
 * @property name the name under which the server is registered in the store
 * @param senderOf identifies the sender of a request, since a pause holds for one sender only
 */
class PlatformServerStandIn(
    private val loop: EventLoop,
    val name: String,
    private val eventMilliseconds: Long = 2,
    private val workMilliseconds: Long = 2,
    private val clock: InstantSource = InstantSource.system(),
    private val senderOf: (IncomingRequest) -> String = { "" },
) {
    private val restarts = CoroutineScope(loop.dispatcher() + SupervisorJob())
    private var server = newServer()
    private lateinit var boundAddress: Address
    private val requests = mutableListOf<ReceivedRequest>()
    private val senderPauses = SenderPauses()
    private var faults = PlatformServerFaults()
    private var inFlight = 0
    private val load: String get() = listOfNotNull("$inFlight,0,$SLOTS", faults.pace).joinToString(",")
    private val announcement: Map<String, String>
        get() = listOfNotNull(
            (PlatformHeaders.LEAVING to "1").takeIf { faults.leaving },
            faults.rateLimit?.let { PlatformHeaders.RATE_LIMIT to it },
        ).toMap()

    /** The requests received so far, in order of arrival. */
    val receivedRequests: List<ReceivedRequest> get() = requests.toList()

    /** The pauses that the server has asked for so far, in order of their beginning. */
    val pauses: List<SenderPause> get() = senderPauses.all

    /** Listens on [address] and returns the bound address. */
    suspend fun start(address: Address): Address = server.start(address).also { boundAddress = it }

    /** Stops and aborts the requests in progress. */
    suspend fun stop() {
        restarts.cancel()
        server.stop()
    }

    private fun newServer() = HttpServer(loop, HttpServerOptions(maxBodyBytes = MAX_BODY_BYTES), ::handle)

    /**
     * Loses all connections like a process that ends, and listens on the same address again after [downtime], which
     * must not be zero. The server is not leaving then, and its pauses have ended.
     */
    suspend fun restart(downtime: Duration = Duration.ofMillis(RESTART_MILLISECONDS)) {
        server.stop()
        delay(downtime.toMillis())
        faults = faults.copy(leaving = false, retryAfter = null, rateLimit = null)
        senderPauses.end()
        server = newServer().apply { start(boundAddress) }
    }

    /** Replaces the faults. */
    fun setFaults(newFaults: PlatformServerFaults) {
        faults = newFaults
    }

    private suspend fun handle(request: IncomingRequest, writer: ResponseWriter) {
        val id = request.headers.get(PlatformHeaders.REQUEST_ID).orEmpty()
        val expected = request.headers.get(PlatformHeaders.EXPECTED_ENDPOINT)
        val sender = senderOf(request)
        val now = clock.instant()
        val retryAfter = senderPauses.refuse(sender, faults.retryAfter, now)
        val refused = faults.refuse || retryAfter != null
        val misdirected = expected != null && expected != name
        requests += ReceivedRequest(
            id,
            request,
            sender,
            now,
            ran = !misdirected && !refused,
            faults = faults,
        )
        when {
            refused -> writer.respond(
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                mapOf(PlatformHeaders.NOT_RUN to "1", PlatformHeaders.REQUEST_ID to id) +
                    listOfNotNull(retryAfter?.let { PlatformHeaders.RETRY_AFTER to it }) + announcement,
                ByteArray(0),
            )
            misdirected -> writer.respond(
                HttpResponseStatus.MISDIRECTED_REQUEST,
                mapOf(PlatformHeaders.ENDPOINT to name) + announcement,
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
                PlatformHeaders.ENDPOINT to name,
                PlatformHeaders.LOAD to load,
                "Keep-Alive" to "timeout=5",
            ) + announcement + if (faults.unsigned) emptyMap() else mapOf(PlatformHeaders.SIGNATURE to signature(id))
            when {
                faults.failing || faults.failResumed && request.resumesStream -> writer.respond(
                    HttpResponseStatus.INTERNAL_SERVER_ERROR,
                    headers,
                    "failed".encodeToByteArray()
                )
                request.headers.contains(PlatformHeaders.MODEL) -> stream(request, id, headers, writer)
                else -> respond(id, headers, writer)
            }
        } finally {
            inFlight -= 1
        }
    }

    /** How long work takes that usually takes [milliseconds]. */
    private fun atPace(milliseconds: Long): Long = faults.pace?.toDoubleOrNull()?.takeIf { it in PACES }
        ?.let { (milliseconds * it / PERCENT).roundToLong() } ?: milliseconds

    private suspend fun respond(id: String, headers: Map<String, String>, writer: ResponseWriter) {
        delay(atPace(faults.workMilliseconds ?: workMilliseconds))
        if (faults.abortResponses) writer.abort() else writer.respond(HttpResponseStatus.OK, headers, responseBody(id))
    }

    private suspend fun stream(
        request: IncomingRequest,
        id: String,
        headers: Map<String, String>,
        writer: ResponseWriter,
    ) {
        if (faults.crashingPart in request.sharedPromptParts) {
            restarts.launch { restart() }
            awaitCancellation()
        }
        val first = (request.headers.get(PlatformHeaders.LAST_EVENT_ID)?.toIntOrNull() ?: 0) + 1
        val last = eventCount(request)
        writer.start(HttpResponseStatus.OK, headers + ("Content-Type" to "text/event-stream"))
        for (number in first..last) {
            delay(atPace(faults.eventMilliseconds ?: eventMilliseconds))
            if (number - first >= (faults.abortAfterEvents ?: last)) {
                if (faults.truncateEvent) writer.writeChunk("id: $number\nda".encodeToByteArray())
                delay(eventMilliseconds)
                if (faults.endAborted) writer.end() else writer.abort()
                return
            }
            if (number - first == faults.pauseAfterEvents && !request.resumesStream) delay(faults.pauseMilliseconds)
            writer.writeChunk(event(id, number))
        }
        writer.end()
    }

    companion object {
        /** The signature of the response to the request with the ID [id]. */
        fun signature(id: String): String = "seal-$id"

        /** The body of a plain server's response to the request with the ID [id]. */
        fun responseBody(id: String): ByteArray = "answer to $id".encodeToByteArray()

        /** The event with the given number, from 1, of the response to the request with the ID [id]. */
        fun event(id: String, number: Int): ByteArray = "id: $number\ndata: $id piece $number\n\n".encodeToByteArray()

        /** The number of events in the response to [request]. */
        fun eventCount(request: IncomingRequest): Int =
            eventCount(request.headers.get(PlatformHeaders.TOKEN_COUNTS).orEmpty())

        /** The number of events in response to a request whose [PlatformHeaders.TOKEN_COUNTS] header is [tokens]. */
        fun eventCount(tokens: String): Int =
            ((tokens.substringAfter(',').toIntOrNull() ?: 1) + TOKENS_PER_EVENT - 1) / TOKENS_PER_EVENT
    }
}

private val IncomingRequest.resumesStream: Boolean get() = headers.contains(PlatformHeaders.LAST_EVENT_ID)

/** The IDs of all parts of the prompt but the last. */
private val IncomingRequest.sharedPromptParts: List<String>
    get() = headers.get(PlatformHeaders.PROMPT_PARTS).orEmpty().split(',').dropLast(1).map { it.substringBefore(':') }
