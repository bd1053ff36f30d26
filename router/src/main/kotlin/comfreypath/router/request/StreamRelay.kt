package comfreypath.router.request

import comfreypath.router.sending.EndpointExchange
import comfreypath.transport.AbortReason
import comfreypath.transport.ResponsePart
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.yield
import java.io.ByteArrayOutputStream

/** The media type of a response that names none. */
private val STREAM_MEDIA_TYPE = HttpHeaderValues.TEXT_EVENT_STREAM.toString()

/** The bytes of which the events are relayed before the event loop does other work. */
private const val BYTES_PER_TURN = 4_096

/** How the stream of one endpoint ended. */
sealed interface StreamEnd {
    /** The endpoint sent the stream to its end. */
    data object Complete : StreamEnd

    /** An event was longer than allowed. */
    data object EventTooLong : StreamEnd

    /** No memory was left for an event. */
    data object OutOfMemory : StreamEnd

    /** The endpoint ended its response within an event. */
    data object Truncated : StreamEnd

    /** The response is no stream that continues the one that has begun. */
    data object NoContinuation : StreamEnd

    /** The endpoint's stream ended early or could not be read. */
    data class Aborted(val reason: AbortReason) : StreamEnd
}

/**
 * Relays a stream of events to a caller, from one endpoint after another if streams abort or stall.
 *
 * Only complete events are relayed, so that a stream that aborts within an event can resume after the last complete
 * one. The head is written with the first event: until then the response can still come from another endpoint.
 *
 * @property exchange receives the stream; its memory holds an event until that is complete
 * @property format the format of the events
 * @property head the head of the response whose first event starts the stream
 * @property onStart called when the first event goes to the caller
 * @property onEvents called with the number of events of the caller's request that have arrived
 */
class StreamRelay(
    private val exchange: CallerExchange,
    private val format: StreamFormat,
    private val head: EndpointResponseHead,
    private val onStart: () -> Unit,
    private val onEvents: (Int) -> Unit,
) {
    private val writer = exchange.writer
    private val memory = exchange.memory.response

    /** False while a response that is to continue the stream has not shown that it does. */
    private var continues = true

    /** The id of the last event relayed; null before the first. */
    var lastEventId: Long? = null
        private set

    /** True once the head has been written to the caller. */
    var started = false
        private set

    /**
     * Relays the events of [source], whose head is [sourceHead], until it ends.
     *
     * Once the stream has begun, the response must continue it: with the same content type, and beginning with an event
     * that has an id or that marks the end. An error that an endpoint sends as a success would else become a part of
     * the stream, or its end.
     */
    suspend fun relayFrom(source: EndpointExchange, sourceHead: EndpointResponseHead): StreamEnd {
        continues = !started
        if (started && sourceHead.mediaType != head.mediaType) return StreamEnd.NoContinuation
        val splitter = EventSplitter()
        try {
            return relayFrom(source, splitter)
        } finally {
            memory.remove(splitter.reservedBytes)
        }
    }

    private suspend fun relayFrom(source: EndpointExchange, splitter: EventSplitter): StreamEnd {
        var end: StreamEnd? = null
        while (end == null) {
            end = when (val part = source.next()) {
                is ResponsePart.Bytes -> relay(part.bytes, source, splitter)
                ResponsePart.End -> ended(splitter)
                is ResponsePart.Aborted -> StreamEnd.Aborted(part.reason)
                is ResponsePart.Head -> StreamEnd.Aborted(AbortReason.MALFORMED)
            }
        }
        return end
    }

    /**
     * Relays the events that [bytes] complete; returns how the stream has ended, or null while it goes on. The event
     * loop does other work after each few kilobytes.
     */
    private suspend fun relay(bytes: ByteArray, source: EndpointExchange, splitter: EventSplitter): StreamEnd? {
        var end: StreamEnd? = null
        var from = 0
        while (end == null && from < bytes.size) {
            if (from > 0) yield()
            val to = minOf(from + BYTES_PER_TURN, bytes.size)
            val events = splitter.feed(bytes, from, to)
            source.countItems(events.size)
            end = relay(events, splitter)
            from = to
        }
        return end
    }

    private suspend fun relay(events: List<StreamEvent>, splitter: EventSplitter): StreamEnd? =
        if (mayContinueWith(events)) {
            if (continues) write(events)
            when {
                !splitter.reserve(memory) -> StreamEnd.OutOfMemory
                splitter.overflowed -> StreamEnd.EventTooLong
                else -> null
            }
        } else {
            StreamEnd.NoContinuation
        }

    private suspend fun ended(splitter: EventSplitter): StreamEnd = when {
        splitter.partial -> StreamEnd.Truncated
        !continues -> StreamEnd.NoContinuation
        else -> {
            start()
            writer.end()
            StreamEnd.Complete
        }
    }

    /** Returns false if [events] show that the response does not continue the stream. */
    private fun mayContinueWith(events: List<StreamEvent>): Boolean {
        if (continues) return true
        val first = events.firstOrNull { !it.isComment }
        if (first != null) {
            continues = first.id != null || format.marksEnd(first)
        }
        return continues || first == null
    }

    private suspend fun write(events: List<StreamEvent>) {
        val bytes = ByteArrayOutputStream()
        var relayed = 0
        events.forEach { event ->
            val last = lastEventId
            val duplicate = event.id != null && last != null && event.id <= last
            if (!duplicate && format.belongsTo(event, exchange.request)) {
                bytes.writeBytes(event.bytes)
                lastEventId = event.id ?: last
                relayed += 1
            }
        }
        if (bytes.size() > 0) {
            onEvents(relayed)
            start()
            writer.writeChunk(bytes.toByteArray())
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

private val EndpointResponseHead.mediaType: String
    get() = (forwardedHeaders.get(HttpHeaderNames.CONTENT_TYPE) ?: STREAM_MEDIA_TYPE)
        .substringBefore(';').trim().lowercase()
