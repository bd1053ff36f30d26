package comfreypath.router.request

import comfreypath.router.sending.EndpointExchange
import comfreypath.transport.BreakReason
import comfreypath.transport.ResponsePart
import comfreypath.transport.ResponseWriter
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.time.Duration

/** How a part of a stream that one endpoint sent has ended. */
sealed interface StreamEnd {
    /** The endpoint has sent the whole stream. */
    data object Complete : StreamEnd

    /** The endpoint's stream stays open and brings nothing. */
    data object Stalled : StreamEnd

    /** The endpoint's stream broke off. */
    data class Aborted(val reason: BreakReason) : StreamEnd
}

/**
 * Passes a stream of events on to a caller, event by event, from one endpoint after the other.
 *
 * Only whole events are passed on, so that a stream that breaks in the middle of an event can go on from the last
 * whole one. The head is written with the first event: until then nothing binds the caller to this endpoint.
 *
 * @property onStart called when the first event goes to the caller
 * @property belongsTo tells whether an event belongs to the caller's request; others are dropped
 */
class StreamRelay(
    private val writer: ResponseWriter,
    private val head: EndpointResponseHead,
    private val onStart: () -> Unit,
    private val belongsTo: (StreamEvent) -> Boolean,
) {
    /** The last event that was passed on; null before the first. */
    var lastEventId: Long? = null
        private set

    /** True once the caller has seen the head. */
    var started = false
        private set

    /** Passes on what [exchange] brings until its end, or until it brings nothing for [silence]. */
    suspend fun relayFrom(exchange: EndpointExchange, silence: Duration?): StreamEnd {
        val splitter = EventSplitter()
        var part = next(exchange, silence)
        while (part is ResponsePart.Bytes) {
            write(splitter.feed(part.bytes))
            part = next(exchange, silence)
        }
        if (part == ResponsePart.End) {
            start()
            writer.end()
        }
        return when (part) {
            null -> StreamEnd.Stalled
            ResponsePart.End -> StreamEnd.Complete
            is ResponsePart.Broken -> StreamEnd.Aborted(part.reason)
            is ResponsePart.Bytes, is ResponsePart.Head -> StreamEnd.Aborted(BreakReason.MALFORMED)
        }
    }

    private suspend fun next(exchange: EndpointExchange, silence: Duration?): ResponsePart? =
        if (silence == null) exchange.next() else withTimeoutOrNull(silence.toMillis()) { exchange.next() }

    private suspend fun write(events: List<StreamEvent>) {
        val bytes = ByteArrayOutputStream()
        events.forEach { event ->
            val last = lastEventId
            val repeated = event.id != null && last != null && event.id <= last
            if (!repeated && belongsTo(event)) {
                bytes.writeBytes(event.bytes)
                lastEventId = event.id ?: last
            }
        }
        if (bytes.size() > 0) {
            start()
            writer.piece(bytes.toByteArray())
        }
    }

    private suspend fun start() {
        if (!started) {
            started = true
            onStart()
            writer.start(HttpResponseStatus.valueOf(head.status), head.forwardedHeaders)
        }
    }
}
