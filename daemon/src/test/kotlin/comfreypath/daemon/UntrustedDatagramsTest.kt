package comfreypath.daemon

import comfreypath.transport.Address
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetSocketAddress

/** Guards against datagrams at the address for routers that end a router, whoever sends them. */
class UntrustedDatagramsTest {
    /** Sends [count] datagrams, [burst] at a time, since a router reads them ten times a second. */
    private fun send(address: Address, count: Int, burst: Int, text: (Int) -> String) = DatagramSocket().use { socket ->
        val target = InetSocketAddress(address.host, address.port)
        repeat(count) { number ->
            val bytes = text(number).encodeToByteArray()
            socket.send(DatagramPacket(bytes, bytes.size, target))
            if (number % burst == burst - 1) Thread.sleep(READ_INTERVAL_MILLISECONDS)
        }
    }

    private val manyLoads = (0 until LOADS).joinToString(",") { (FIRST_KEY + it).toString(RADIX) }

    private fun stamp(number: Int) = "1:${(number + 1).toString(RADIX)}"

    @Test
    fun `status messages with long lists of loads from routers that do not exist`() = withCrowdedRouter {
        send(process.peerAddress, LONG_MESSAGES, LONG_BURST) {
            """{"n":"ghost-$it","z":"nowhere","t":"${stamp(it)}","f":"$manyLoads"}"""
        }
        expectSoundBeside("long status messages")
    }

    @Test
    fun `status messages from very many routers that do not exist`() = withCrowdedRouter(memory = LOW_HEAP) {
        send(process.peerAddress, SHORT_MESSAGES, SHORT_BURST) {
            """{"n":"ghost-$it","z":"nowhere-$it","t":"${stamp(it)}","q":true,"u":5000}"""
        }
        expectSoundBeside("short status messages")
    }

    @Test
    fun `messages of loads from routers that do not exist`() = withCrowdedRouter {
        send(process.peerAddress, LONG_MESSAGES, LONG_BURST) {
            """L{"n":"ghost-$it","z":"nowhere","t":"${stamp(it)}","s":"r","f":"$manyLoads"}"""
        }
        expectSoundBeside("messages of loads")
    }

    @Test
    fun `datagrams that can't be read do not fill the log`() = withCrowdedRouter {
        send(process.peerAddress, SHORT_MESSAGES, SHORT_BURST) { "x".repeat(UNREADABLE_BYTES) }
        expectSoundBeside("unreadable datagrams")
        expectThat(process.log.lines().count { "unreadable" in it }).describedAs("lines about unreadable messages")
            .isLessThan(MAX_LINES)
    }

    private companion object {
        const val READ_INTERVAL_MILLISECONDS = 100L
        const val RADIX = 36
        const val LOADS = 1_950
        const val FIRST_KEY = 2_000
        const val LONG_MESSAGES = 1_000
        const val LONG_BURST = 10
        const val SHORT_MESSAGES = 20_000
        const val SHORT_BURST = 200
        const val UNREADABLE_BYTES = 200

        /** A line a second and kind, with room for a slow machine. */
        const val MAX_LINES = 200
    }
}
