package comfreypath.daemon

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.daemon.demo.freeAddress
import comfreypath.router.RouterOptions
import comfreypath.router.ServiceBounds
import comfreypath.standins.StoreFaults
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import java.time.Duration

class StoreFailureTest {
    private val shortRevocationBound: (RouterOptions) -> RouterOptions =
        { it.copy(bounds = ServiceBounds(revocation = Duration.ofMillis(3_000))) }
    private var requestNumber = 0

    /** Sends a request and returns the status of the response; null if no complete response arrives. */
    private suspend fun PlatformFixture.responseStatus(
        key: String? = "key-1",
        router: Int = 0,
        route: String = "history",
    ): Int? = call(PlatformRequest(route, "r${requestNumber++}", key = key), router)?.status

    /** Starts a router that can't reach the store and has the first router as its only peer. */
    private suspend fun PlatformFixture.startIsolatedRouter() {
        val connected = fleet.routers.single().options
        val options = RouterOptions(
            name = InstanceName("cut-off"),
            dataCentre = DataCentreName("data-centre-1"),
            callerAddress = freeAddress(),
            readinessAddress = freeAddress(),
            peerAddress = freeAddress(),
            metricsAddress = freeAddress(),
            objectStore = freeAddress(),
            peers = listOf(connected.peerAddress),
            bounds = connected.bounds,
        )
        fleet.awaitReady(fleet.launch(options))
    }

    /** Returns true if the isolated router answers all requests and sends none to [server]. */
    private suspend fun PlatformFixture.avoids(server: PlatformFleet.RunningServer): Boolean {
        val before = server.server.receivedRequests.size
        val statuses = List(REQUESTS) { responseStatus(router = 1) }
        return statuses.all { it == 200 } && server.server.receivedRequests.size == before
    }

    @Test
    fun `in an outage keys are refused after the revocation bound, and accepted again after the outage`() =
        PlatformFixture(customizeRouter = shortRevocationBound).run {
            setStoreFaults(StoreFaults(outage = true))
            expectThat(responseStatus()).isEqualTo(200)
            delay(3_000)
            expectThat(responseStatus()).isEqualTo(503)
            expectThat(responseStatus(key = null, route = "open")).isEqualTo(200)
            setStoreFaults(StoreFaults())
            eventually("an accepted key") { responseStatus() == 200 }
        }

    @Test
    fun `an unknown key or route gets a 503 while the configuration may be stale`() = PlatformFixture().run {
        setStoreFaults(StoreFaults(refuse = true))
        delay(ServiceBounds().configuration.toMillis())
        expectThat(responseStatus(key = "new-key")).isEqualTo(503)
        expectThat(responseStatus(route = "new-route")).isEqualTo(503)
    }

    @Test
    fun `a router that can't reach the store learns configuration and revocations from its peers`() =
        PlatformFixture(customizeRouter = shortRevocationBound).run {
            startIsolatedRouter()
            expectThat(responseStatus(key = "key-2", router = 1)).isEqualTo(200)
            delay(4_000)
            expectThat(responseStatus(key = "key-2", router = 1)).isEqualTo(200)
            fleet.storeAdmin.updateConfiguration { configuration ->
                configuration.copy(teams = configuration.teams.orEmpty().take(1).toImmutableList())
            }
            eventually("refusal of the revoked key") { responseStatus(key = "key-2", router = 1) == 401 }
        }

    @Test
    fun `a router that can't reach the store learns server changes and removals from its peers`() =
        PlatformFixture().run {
            startIsolatedRouter()
            val (first, second) = fleet.plainServers
            fleet.storeAdmin.deregister(first.endpoint)
            eventually("no request at the removed server") { avoids(first) }
            fleet.storeAdmin.register(first.endpoint)
            eventually("requests at the server that is registered again") { !avoids(first) }
            fleet.storeAdmin.updateRegistration(second.endpoint.copy(draining = true))
            eventually("no request at the draining server") { avoids(second) }
            repeat(CHANGES) {
                fleet.storeAdmin.updateRegistration(second.endpoint.copy(draining = it % 2 == 0))
                fleet.storeAdmin.deregister(first.endpoint)
                fleet.storeAdmin.register(first.endpoint)
            }
            fleet.storeAdmin.updateRegistration(second.endpoint.copy(draining = true))
            eventually("no request at the server that drains after all changes") { avoids(second) }
        }

    @Test
    fun `updates from a peer reveal a silent watch`() = PlatformFixture(routers = 2).run {
        val server = fleet.plainServers.first()
        setStoreFaults(StoreFaults(silentWatches = true))
        delay(4_000)
        setStoreFaults(StoreFaults())
        fleet.storeAdmin.updateRegistration(server.endpoint.copy(draining = true))
        eventually("no request at the draining server") {
            val before = server.server.receivedRequests.size
            repeat(8) { responseStatus(router = it % 2) }
            server.server.receivedRequests.size == before
        }
    }

    @Test
    fun `objects are read again when the store has dropped its history`() = PlatformFixture().run {
        setStoreFaults(StoreFaults(forgetHistory = true))
        fleet.storeAdmin.updateConfiguration {
            it.copy(
                routes = it.routes.filterNot { route -> route.name == "open" }.toImmutableList()
            )
        }
        eventually("removal of the route") { responseStatus(key = null, route = "open") == 404 }
    }

    @Test
    fun `lost store responses do not keep a router from registering`() = PlatformFixture(routers = 2).run {
        setStoreFaults(StoreFaults(loseAnswersPercent = 50))
        val options = fleet.routers.first().options.copy(
            name = InstanceName("late"),
            callerAddress = freeAddress(),
            readinessAddress = freeAddress(),
            peerAddress = freeAddress(),
            metricsAddress = freeAddress(),
        )
        val late = fleet.launch(options)
        eventually("two live peers") { late.router.livePeerCount == 2 }
        expectThat(responseStatus(router = 2)).isNotNull().isGreaterThan(0)
    }

    private companion object {
        const val REQUESTS = 8
        const val CHANGES = 10
    }
}
