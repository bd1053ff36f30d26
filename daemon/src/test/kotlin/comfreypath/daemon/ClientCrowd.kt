package comfreypath.daemon

import comfreypath.transport.Address
import java.io.Closeable
import java.net.InetSocketAddress
import java.net.Socket

private const val CONNECT_TIMEOUT_MILLISECONDS = 5_000
private const val MAX_FAILED_CONNECTS = 3
private const val READ_TIMEOUT_MILLISECONDS = 10_000

/**
 * Connections of clients that send bytes, read what they are asked to, and stay.
 *
 * @param receiveBytes the size of the receive buffer of each connection; null for the default
 */
internal class ClientCrowd(address: Address, size: Int, receiveBytes: Int? = null) : Closeable {
    private val sockets = connectAll(address, size, receiveBytes)

    /** Fails after some attempts in vain, each of which takes a while if the server hangs. */
    private fun connectAll(address: Address, size: Int, receiveBytes: Int?): List<Socket> {
        var failures = 0
        return List(size) {
            runCatching { connect(address, receiveBytes) }.onFailure {
                failures += 1
                check(failures < MAX_FAILED_CONNECTS) { "$failures connections to $address failed" }
            }.getOrNull()
        }.filterNotNull()
    }

    private fun connect(address: Address, receiveBytes: Int?) = Socket().apply {
        receiveBytes?.let { receiveBufferSize = it }
        connect(InetSocketAddress(address.host, address.port), CONNECT_TIMEOUT_MILLISECONDS)
    }

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
