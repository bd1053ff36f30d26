package comfreypath.daemon

import comfreypath.coordination.model.TeamName
import comfreypath.coordination.routing.Team
import comfreypath.transport.Address
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import org.junit.jupiter.api.Test
import java.net.Socket

/** Guards against clients that end a router at one of its addresses that are not for callers. */
class UntrustedAddressesTest {
    private fun expectUnfinishedHeadsBounded(address: RouterProcess.() -> Address) = withCrowdedRouter {
        withCrowd(UNFINISHED_HEADS, process.address()) {
            send { "GET / HTTP/1.1\r\n" + linesOf(HEAD_LINES) { "a:" } }
        }
    }

    private fun expectBodiesBounded(address: RouterProcess.() -> Address) = withCrowdedRouter {
        withCrowd(UNFINISHED_BODIES, process.address()) {
            val head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${2 * BODY_BYTES}\r\n\r\n"
            send { head + "x".repeat(BODY_BYTES) }
        }
    }

    @Test
    fun `unfinished heads of many lines at the address of the readiness check`() =
        expectUnfinishedHeadsBounded { readinessAddress }

    @Test
    fun `unfinished heads of many lines at the address for routers`() = expectUnfinishedHeadsBounded { peerAddress }

    @Test
    fun `unfinished heads of many lines at the address of the metrics`() =
        expectUnfinishedHeadsBounded { metricsAddress }

    @Test
    fun `unfinished bodies at the address of the readiness check`() = expectBodiesBounded { readinessAddress }

    @Test
    fun `unfinished bodies at the address for routers`() = expectBodiesBounded { peerAddress }

    @Test
    fun `unfinished bodies at the address of the metrics`() = expectBodiesBounded { metricsAddress }

    @Test
    fun `connections opened and left at all addresses leave descriptors free`() = withCrowdedRouter {
        val addresses = process.run { listOf(readinessAddress, peerAddress, metricsAddress) }
        val crowds = addresses.map { ClientCrowd(it, LEFT_CONNECTIONS) }
        try {
            withCrowd(LEFT_CONNECTIONS) { }
        } finally {
            crowds.forEach { it.close() }
        }
    }

    @Test
    fun `requests for metrics that are sent one behind the other and whose answers are not read`() =
        withCrowdedRouter(memory = LOW_HEAP) {
            ClientCrowd(process.metricsAddress, UNREAD_METRICS, receiveBytes = SMALL_WINDOW_BYTES).use { crowd ->
                repeat(METRICS_REQUESTS) { crowd.send { "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n" } }
                expectSoundBeside("unread metrics")
            }
        }

    @Test
    fun `copies of the configuration that are not read`() = withCrowdedRouter {
        fixture.fleet.storeAdmin.updateConfiguration { configuration ->
            val teams = (1..TEAMS).map { Team(TeamName("team-$it"), persistentListOf("k".repeat(KEY_LENGTH) + it), 1) }
            configuration.copy(teams = (configuration.teams.orEmpty() + teams).toImmutableList())
        }
        fixture.eventually("the router has the long configuration") { longestCopy() > MIN_COPY_BYTES }
        ClientCrowd(process.peerAddress, UNREAD_COPIES, receiveBytes = SMALL_WINDOW_BYTES).use { crowd ->
            crowd.send { "GET /v1/copies/configuration HTTP/1.1\r\nHost: a\r\n\r\n" }
            expectSoundBeside("unread copies")
        }
    }

    /** The length of the configuration that the router serves to its peers. */
    private fun CrowdedRouter.longestCopy(): Int = Socket(process.peerAddress.host, process.peerAddress.port).use {
        it.send("GET /v1/copies/configuration HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        it.getInputStream().readAllBytes().size
    }

    private companion object {
        const val UNFINISHED_HEADS = 600

        /** Fills 15,900 bytes almost, line ends included. */
        const val HEAD_LINES = 3_970
        const val UNFINISHED_BODIES = 300
        const val BODY_BYTES = 400_000
        const val LEFT_CONNECTIONS = 1_300
        const val UNREAD_METRICS = 600
        const val METRICS_REQUESTS = 15
        const val SMALL_WINDOW_BYTES = 4_096
        const val TEAMS = 2_000
        const val KEY_LENGTH = 200
        const val MIN_COPY_BYTES = 400_000
        const val UNREAD_COPIES = 250
    }
}
