package comfreypath.transport

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.DatagramPacket
import java.net.InetAddress
import java.net.ServerSocket
import java.net.DatagramSocket as PlainSocket

class DatagramSocketTest {
    private val loop = eventLoops("datagrams", 1).next()
    private val received = mutableListOf<String>()
    private val socket = DatagramSocket(loop) { bytes, _ -> received += bytes.decodeToString() }

    @AfterEach
    fun stop() {
        loop.parent().shutdownGracefully()
    }

    private fun sendAll(port: Int, texts: List<String>) = PlainSocket().use { sender ->
        texts.forEach { text ->
            val bytes = text.encodeToByteArray()
            sender.send(DatagramPacket(bytes, bytes.size, InetAddress.getLoopbackAddress(), port))
        }
    }

    @Test
    fun `one read receives every datagram that waits, and none is received between two reads`() = runBlocking {
        val port = ServerSocket(0).use { it.localPort }
        withContext(loop.dispatcher()) { socket.start(Address("127.0.0.1", port)) }
        val texts = List(COUNT) { "message $it" }
        sendAll(port, texts)
        delay(SETTLE_MILLISECONDS)
        withContext(loop.dispatcher()) {
            expectThat(received).isEqualTo(mutableListOf())
            socket.readPending()
        }
        delay(SETTLE_MILLISECONDS)
        sendAll(port, listOf("later"))
        delay(SETTLE_MILLISECONDS)
        withContext(loop.dispatcher()) {
            expectThat(received.toList()).isEqualTo(texts)
            socket.readPending()
        }
        delay(SETTLE_MILLISECONDS)
        withContext(loop.dispatcher()) {
            expectThat(received.last()).isEqualTo("later")
            socket.stop()
        }
    }

    private companion object {
        const val COUNT = 40
        const val SETTLE_MILLISECONDS = 100L
    }
}
