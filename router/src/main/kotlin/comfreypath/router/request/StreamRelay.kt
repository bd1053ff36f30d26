package comfreypath.router.request

import comfreypath.router.sending.EndpointExchange
import comfreypath.transport.AbortReason
import comfreypath.transport.MemoryBudget
import comfreypath.transport.ResponsePart
import comfreypath.transport.ResponseWriter
import io.netty.handler.codec.http.HttpResponseStatus
import java.io.ByteArrayOutputStream

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

    /** The endpoint's stream ended early or could not be read. */
    data class Aborted(val reason: AbortReason) : StreamEnd
}

/**
 * Relays a stream of events to a caller, from one endpoint after another if streams abort or stall.
 *
 * Only complete events are relayed, so that a stream that aborts within an event can resume after the last complete
 * one. The head is written with the first event: until then the response can still come from another endpoint.
 *
 * @property memory holds an event until it is complete
 * @property head the head of the response whose first event starts the stream
 * @property onStart called when the first event goes to the caller
 * @property onEvents called with the number of events of the caller's request that have arrived
 * @property belongsTo whether an event belongs to the caller's request; other events are dropped
 */
class StreamRelay(
    private val writer: ResponseWriter,
    private val memory: MemoryBudget.Account,
    private val head: EndpointResponseHead,
    private val onStart: () -> Unit,
    private val onEvents: (Int) -> Unit,
    private val belongsTo: (StreamEvent) -> Boolean,
) {
    /** The id of the last event relayed; null before the first. */
    var lastEventId: Long? = null
        private set

    /** True once the head has been written to the caller. */
    var started = false
        private set

    /** Relays the events of [exchange] until it ends. */
    suspend fun relayFrom(exchange: EndpointExchange): StreamEnd {
        val splitter = EventSplitter()
        try {
            return relayFrom(exchange, splitter)
        } finally {
            memory.remove(splitter.reservedBytes)
        }
    }

    private suspend fun relayFrom(exchange: EndpointExchange, splitter: EventSplitter): StreamEnd {
        var roomLeft = true
        var part = exchange.next()
        while (part is ResponsePart.Bytes && !splitter.overflowed && roomLeft) {
            write(splitter.feed(part.bytes))
            roomLeft = splitter.reserve(memory)
            if (roomLeft) part = exchange.next()
        }
        val complete = part == ResponsePart.End && !splitter.partial
        if (complete) {
            start()
            writer.end()
        }
        return when (part) {
            ResponsePart.End -> if (complete) StreamEnd.Complete else StreamEnd.Truncated
            is ResponsePart.Aborted -> StreamEnd.Aborted(part.reason)
            is ResponsePart.Bytes -> if (roomLeft) StreamEnd.EventTooLong else StreamEnd.OutOfMemory
            is ResponsePart.Head -> StreamEnd.Aborted(AbortReason.MALFORMED)
        }
    }

    private suspend fun write(events: List<StreamEvent>) {
        val bytes = ByteArrayOutputStream()
        var relayed = 0
        events.forEach { event ->
            val last = lastEventId
            val duplicate = event.id != null && last != null && event.id <= last
            if (!duplicate && belongsTo(event)) {
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
