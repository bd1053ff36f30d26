package comfreypath.daemon.demo

import comfreypath.transport.Address
import java.io.IOException
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Allocates loopback ports that stay free until the caller binds them.
 *
 * All ports are below the ephemeral range of Linux, so that an outgoing connection that is opened before a port is
 * bound can't occupy it. The first port of each block stays bound for the lifetime of this process, which keeps other
 * processes that use this class out of the block.
 */
internal class FreePorts(private val random: Random = Random.Default) {
    private val blockSockets = mutableListOf<ServerSocket>()
    private var ports: Iterator<Int> = emptyList<Int>().iterator()

    /** Allocates an address that is free for TCP and UDP. No address is returned twice. */
    @Synchronized
    fun nextAddress(): Address {
        repeat(MAX_TRIES) {
            if (!ports.hasNext()) {
                ports = reserveBlock()
            }
            val port = ports.next()
            if (isFree(port)) {
                return Address(LOOPBACK, port)
            }
        }
        error("found no free port in $MAX_TRIES tries")
    }

    private fun reserveBlock(): Iterator<Int> {
        repeat(MAX_TRIES) {
            val first = MIN_PORT + BLOCK_SIZE * random.nextInt(BLOCK_COUNT)
            val blockSocket = bindOrNull { ServerSocket(first, 1, InetAddress.getByName(LOOPBACK)) }
            if (blockSocket != null) {
                blockSockets += blockSocket
                return (first + 1 until first + BLOCK_SIZE).iterator()
            }
        }
        error("found no free block of ports in $MAX_TRIES tries")
    }

    private fun isFree(port: Int): Boolean {
        val address = InetSocketAddress(LOOPBACK, port)
        val tcp = bindOrNull { ServerSocket().apply { use { it.bind(address) } } }
        return tcp != null && bindOrNull { DatagramSocket(address).apply { close() } } != null
    }

    private fun <T> bindOrNull(open: () -> T): T? = try {
        open()
    } catch (unavailable: IOException) {
        unavailable.message.let { null }
    }

    internal companion object {
        /** Above the ports of well-known services. */
        const val MIN_PORT = 10_000

        /** The first port of outgoing connections, by the default of `net.ipv4.ip_local_port_range` on Linux. */
        const val FIRST_EPHEMERAL_PORT = 32_768
        const val BLOCK_SIZE = 128
        const val BLOCK_COUNT = (FIRST_EPHEMERAL_PORT - MIN_PORT) / BLOCK_SIZE
        private const val LOOPBACK = "127.0.0.1"
        private const val MAX_TRIES = 1_000

        /** The instance that this process shares. */
        val shared = FreePorts()
    }
}

/** Allocates a loopback address that is free for TCP and UDP. */
internal fun freeAddress(): Address = FreePorts.shared.nextAddress()
