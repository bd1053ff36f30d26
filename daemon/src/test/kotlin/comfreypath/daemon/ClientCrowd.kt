package comfreypath.daemon

import comfreypath.transport.Address
import java.io.Closeable
import java.net.Socket

private const val READ_TIMEOUT_MILLISECONDS = 10_000

/** Connections of clients that send bytes, read what they are asked to, and stay. */
internal class ClientCrowd(private val address: Address, size: Int) : Closeable {
    private val sockets = List(size) { runCatching { Socket(address.host, address.port) }.getOrNull() }.filterNotNull()

    /** Sends what [text] returns for the number of each connection; a connection may have been closed by the server. */
    fun send(text: (Int) -> String) = sockets.forEachIndexed { number, socket ->
        runCatching { socket.send(text(number)) }
    }

    /** Sends [text] on each connection, one byte a packet. */
    fun sendByteByByte(text: String) = text.forEach { character -> send { "$character" } }

    /** Reads the status line of a response on each connection; null where there is none. */
    fun statusLines(): List<String?> = sockets.map { socket ->
        socket.soTimeout = READ_TIMEOUT_MILLISECONDS
        runCatching { socket.getInputStream().bufferedReader().readLine() }.getOrNull()
    }

    override fun close() = sockets.forEach { it.close() }
}
