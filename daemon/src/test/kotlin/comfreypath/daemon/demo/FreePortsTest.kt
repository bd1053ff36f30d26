package comfreypath.daemon.demo

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isIn
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.random.Random

class FreePortsTest {
    @Test
    fun `outgoing connections never get an allocated port`() {
        ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress()).use { listener ->
            val allocated = List(CONNECTIONS) { freeAddress().port }
            val connections = List(CONNECTIONS) { Socket(listener.inetAddress, listener.localPort) }
            expectThat(allocated).all { isIn(FreePorts.MIN_PORT until FreePorts.FIRST_EPHEMERAL_PORT) }
            connections.forEach { connection ->
                expectThat(allocated).doesNotContain(connection.localPort)
                connection.close()
            }
        }
    }

    @Test
    fun `a port is allocated once, even by instances with the same random numbers`() {
        val ports = FreePorts(Random(SEED))
        val others = FreePorts(Random(SEED))
        val allocated =
            List(2 * FreePorts.BLOCK_SIZE) { listOf(ports.nextAddress().port, others.nextAddress().port) }.flatten()
        expectThat(allocated.toSet()).hasSize(allocated.size)
    }

    @Test
    fun `a port that is bound for TCP or UDP is skipped`() {
        val ports = FreePorts(Random(SEED + 1))
        val first = ports.nextAddress().port
        ServerSocket(first + FreePorts.BLOCK_SIZE / 2, 1, InetAddress.getByName("127.0.0.1")).use { listener ->
            DatagramSocket(InetSocketAddress("127.0.0.1", first + 1)).use { datagrams ->
                val rest = List(FreePorts.BLOCK_SIZE - 2) { ports.nextAddress().port }
                expectThat(rest).doesNotContain(listener.localPort).doesNotContain(datagrams.localPort)
                expectThat(rest).contains(first + 2)
            }
        }
    }

    private companion object {
        const val CONNECTIONS = 200
        const val SEED = 5
    }
}
