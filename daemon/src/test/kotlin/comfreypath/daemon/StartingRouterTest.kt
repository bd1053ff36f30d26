package comfreypath.daemon

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.daemon.demo.freeAddress
import comfreypath.router.RouterOptions
import comfreypath.standins.StoreFaults
import comfreypath.transport.dispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

/** Guards against a router that serves before it knows what operators have taken out of use. */
class StartingRouterTest {
    private var requestNumber = 0

    private suspend fun PlatformFixture.startRouter(): PlatformFleet.RunningRouter = fleet.launch(
        RouterOptions(
            name = InstanceName("starting"),
            dataCentre = DataCentreName("data-centre-1"),
            callerAddress = freeAddress(),
            readinessAddress = freeAddress(),
            peerAddress = freeAddress(),
            metricsAddress = freeAddress(),
            objectStore = fleet.storeAddress,
        ),
    )

    private val PlatformFleet.RunningRouter.isReady: suspend () -> Boolean
        get() = { withContext(loop.dispatcher()) { router.ready } }

    private suspend fun PlatformFixture.statuses(): List<Int?> =
        List(REQUESTS) { call(PlatformRequest("history", "r${requestNumber++}"))?.status }

    private fun expectNoTrafficBefore(kind: String) = PlatformFixture(routers = 0).run {
        val evacuated = fleet.plainServers.first()
        fleet.storeAdmin.setEvacuated(evacuated.endpoint.dataCentre, evacuated = true)
        setStoreFaults(StoreFaults(silentKind = kind))
        val starting = startRouter()
        delay(SETTLING_MILLISECONDS)
        expectThat(starting.isReady()).isFalse()
        expectThat(statuses()).all { isEqualTo(503) }
        setStoreFaults(StoreFaults())
        fleet.awaitReady(starting)
        expectThat(statuses()).all { isEqualTo(200) }
        expectThat(evacuated.server.receivedRequests).isEmpty()
    }

    @Test
    fun `a router serves no request before it has read the evacuations`() = expectNoTrafficBefore("evacuations")

    @Test
    fun `a router serves no request before it has read the rollouts`() = expectNoTrafficBefore("rollouts")

    private companion object {
        const val REQUESTS = 6
        const val SETTLING_MILLISECONDS = 500L
    }
}
