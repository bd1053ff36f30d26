package comfreypath.router.peers

import com.github.michaelbull.result.map
import com.github.michaelbull.result.onErr
import comfreypath.coordination.fleet.LoadMessage
import comfreypath.coordination.fleet.PeerAddress
import comfreypath.coordination.fleet.PeerStatus
import comfreypath.coordination.fleet.ProbeMessage
import comfreypath.coordination.fleet.StatusStamp
import comfreypath.router.RouterContext
import comfreypath.transport.Address
import comfreypath.transport.DatagramSocket
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json

private const val ECHO_FIELD = "\"e\""

/** The first bytes of messages of loads and of probes. Status messages are JSON objects. */
private const val LOAD_PREFIX = "L"
private const val PROBE_PREFIX = "P"

/**
 * Sends and receives messages between routers as datagrams. [onStatus] is called with each status message, its sender's
 * address and its size in bytes, [onLoad] with each message of loads and its size, [onProbe] with each probe and each
 * response to one.
 */
internal class PeerSocket(
    private val context: RouterContext,
    private val onStatus: (PeerStatus, Address, Int) -> Unit,
    private val onLoad: (LoadMessage, Int) -> Unit,
    private val onProbe: (ProbeMessage) -> Unit,
) {
    private val socket = DatagramSocket(context.loop, ::receive)
    private val encoder = PeerStatusEncoder()
    private val loadEncoder = LoadMessageEncoder()

    /** Binds to the router's address for peers. */
    suspend fun start() = socket.start(context.options.peerAddress)

    /** Receives the messages that have arrived, or else the next ones. */
    fun readPending() = socket.readPending()

    /** Sends [status] with [echo] as its echo to [peer]. */
    fun send(peer: PeerAddress, status: PeerStatus, echo: StatusStamp?) = send(peer, encoder.encode(status, echo))

    /** Sends [message] to [peer]. */
    fun send(peer: PeerAddress, message: LoadMessage) = send(peer, loadEncoder.encode(message))

    /** Sends [message] to [peer]. */
    fun send(peer: PeerAddress, message: ProbeMessage) = send(peer, encode(message))

    private fun send(peer: PeerAddress, bytes: ByteArray) {
        context.metrics.controlBytes.labelValues("sent").inc(bytes.size.toDouble())
        socket.send(Address(peer.host, peer.port), bytes)
    }

    /** Closes the socket. */
    fun stop() = socket.stop()

    private fun receive(bytes: ByteArray, sender: Address) {
        context.metrics.controlBytes.labelValues("received").inc(bytes.size.toDouble())
        context.scope.launch(CoroutineName("receive peer status"), CoroutineStart.UNDISPATCHED) {
            val text = bytes.decodeToString()
            val handled = when {
                text.startsWith(LOAD_PREFIX) ->
                    decodeLoadMessage(text.removePrefix(LOAD_PREFIX)).map { onLoad(it, bytes.size) }
                text.startsWith(PROBE_PREFIX) -> decodeProbe(text.removePrefix(PROBE_PREFIX)).map(onProbe)
                else -> decodePeerStatus(text).map { onStatus(it, sender, bytes.size) }
            }
            handled.onErr { reason ->
                context.metrics.peerMessagesDropped.labelValues("unreadable").inc()
                context.throttledLog.record("peer_status_unreadable", "", "sender" to sender, "reason" to reason)
            }
        }
    }
}

/**
 * Encodes status messages as JSON.
 *
 * The messages that a router sends to its peers at the same time differ only in the echo. The rest is encoded once.
 */
internal class PeerStatusEncoder {
    private var status: PeerStatus? = null
    private var prefix = ""

    /** Returns [status] with [echo] as JSON in UTF-8; [status] itself has no echo. */
    fun encode(status: PeerStatus, echo: StatusStamp?): ByteArray {
        if (status !== this.status) {
            this.status = status
            prefix = Json.encodeToString(status).removeSuffix("}")
        }
        val last = if (echo == null) "}" else ",$ECHO_FIELD:${Json.encodeToString(echo)}}"
        return (prefix + last).encodeToByteArray()
    }
}

/** Encodes messages of loads. A relay sends the same message to many routers; it is encoded once. */
internal class LoadMessageEncoder {
    private var message: LoadMessage? = null
    private var bytes = ByteArray(0)

    /** Returns [message] in UTF-8. */
    fun encode(message: LoadMessage): ByteArray {
        if (message !== this.message) {
            this.message = message
            bytes = (LOAD_PREFIX + Json.encodeToString(message)).encodeToByteArray()
        }
        return bytes
    }
}

/** Returns [message] as a datagram. */
internal fun encode(message: ProbeMessage): ByteArray =
    (PROBE_PREFIX + Json.encodeToString(message)).encodeToByteArray()
