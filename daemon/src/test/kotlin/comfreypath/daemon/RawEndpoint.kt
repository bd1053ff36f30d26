package comfreypath.daemon

import comfreypath.transport.Address
import java.io.Closeable
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread

/** More than the connections that a test opens at once; others are dropped and time out. */
private const val BACKLOG = 1_024

/** The head of a request that a [RawEndpoint] has received. */
internal class RawRequest(val head: String) {
    val id: String = header("X-Attempt-Id").orEmpty()
    val bodyLength: Int = header("Content-Length")?.toInt() ?: 0

    fun header(name: String): String? = head.lineSequence()
        .firstOrNull { it.startsWith("$name:", ignoreCase = true) }?.substringAfter(':')?.trim()
}

/** Responds to requests with raw bytes, so that tests can break the protocol at any point. */
internal class RawEndpoint(private val respond: (RawRequest, Socket) -> Unit) : Closeable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    /** The requests received so far. */
    val requests = ConcurrentLinkedQueue<RawRequest>()

    val address = Address("127.0.0.1", listener.localPort)

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { socket.use { runCatching { serve(it) } } }
            }
        }
    }

    private fun serve(socket: Socket) {
        var head = readHead(socket.getInputStream())
        while (head != null) {
            val request = RawRequest(head)
            requests += request
            respond(request, socket)
            head = if (socket.isClosed) null else readHead(socket.getInputStream())
        }
    }

    private fun readHead(input: InputStream): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return null
            head.append(byte.toChar())
        }
        return head.toString()
    }

    override fun close() = listener.close()
}

/** Writes [text] at once. */
internal fun Socket.send(text: String) {
    getOutputStream().write(text.encodeToByteArray())
    getOutputStream().flush()
}

/** Reads and returns [length] bytes, or fewer at the end of the stream. */
internal fun Socket.receive(length: Int): ByteArray = getInputStream().readNBytes(length)
