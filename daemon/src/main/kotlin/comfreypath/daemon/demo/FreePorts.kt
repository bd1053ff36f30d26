package comfreypath.daemon.demo

import comfreypath.transport.Address
import java.io.IOException
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Hands out loopback ports that nothing else takes before they are listened on.
 *
 * All ports lie below those that Linux gives to outgoing connections, so that a connection which is opened between the
 * choice of a port and its use can't take it. The first port of each block is held while this process lives; it keeps
 * other processes that use this class off the block.
 */
internal class FreePorts(private val random: Random = Random.Default) {
    private val held = mutableListOf<ServerSocket>()
    private var ports: Iterator<Int> = emptyList<Int>().iterator()

    /** An address that is free for TCP and UDP, and is handed out once only. */
    @Synchronized
    fun nextAddress(): Address {
        repeat(TRIES) {
            if (!ports.hasNext()) {
                ports = holdBlock()
            }
            val port = ports.next()
            if (isFree(port)) {
                return Address(LOOPBACK, port)
            }
        }
        error("found no free port in $TRIES tries")
    }

    private fun holdBlock(): Iterator<Int> {
        repeat(TRIES) {
            val first = MIN_PORT + BLOCK_SIZE * random.nextInt(BLOCKS)
            val holder = orNull { ServerSocket(first, 1, InetAddress.getByName(LOOPBACK)) }
            if (holder != null) {
                held += holder
                return (first + 1 until first + BLOCK_SIZE).iterator()
            }
        }
        error("found no free block of ports in $TRIES tries")
    }

    private fun isFree(port: Int): Boolean {
        val address = InetSocketAddress(LOOPBACK, port)
        val stream = orNull { ServerSocket().apply { use { it.bind(address) } } }
        return stream != null && orNull { DatagramSocket(address).apply { close() } } != null
    }

    private fun <T> orNull(open: () -> T): T? = try {
        open()
    } catch (taken: IOException) {
        taken.message.let { null }
    }

    internal companion object {
        /** Above the ports of well-known services. */
        const val MIN_PORT = 10_000

        /** The first port of outgoing connections: `net.ipv4.ip_local_port_range` of Linux, by default. */
        const val FIRST_EPHEMERAL_PORT = 32_768
        const val BLOCK_SIZE = 128
        const val BLOCKS = (FIRST_EPHEMERAL_PORT - MIN_PORT) / BLOCK_SIZE
        private const val LOOPBACK = "127.0.0.1"
        private const val TRIES = 1_000

        /** The ports of this process. */
        val shared = FreePorts()
    }
}

/** A loopback address of this process that is free for TCP and UDP. */
internal fun freeAddress(): Address = FreePorts.shared.nextAddress()
