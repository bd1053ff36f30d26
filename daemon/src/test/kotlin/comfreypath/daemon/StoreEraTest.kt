package comfreypath.daemon

import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Rollout
import comfreypath.daemon.demo.LocalFleetOptions
import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformLayout
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.router.RouterOptions
import comfreypath.router.ServiceBounds
import comfreypath.router.store.ObjectKinds
import comfreypath.standins.ObjectStoreStandIn
import comfreypath.standins.PlatformServerFaults
import comfreypath.standins.StoreFaults
import comfreypath.transport.dispatcher
import io.netty.channel.EventLoop
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo
import java.time.Duration

/** The store comes back from a copy that lacks its last changes, and routers act on what they still know. */
class StoreEraTest {
    private val shortRevocationBound: (RouterOptions) -> RouterOptions =
        { it.copy(bounds = ServiceBounds(revocation = Duration.ofMillis(3_000))) }
    private val model = ServiceName(PlatformLayout.MODEL_SERVICE)
    private var requestNumber = 0

    private fun fixture(customizeRouter: (RouterOptions) -> RouterOptions = { it }) =
        PlatformFixture(routers = 2, customizeRouter = customizeRouter).also { fixture ->
            fixture.fleet.store.setFaults(StoreFaults(firstEra = 1))
        }

    private class Copy(private val store: ObjectStoreStandIn, private val loop: EventLoop) {
        private var copied = 0L

        suspend fun take() = withContext(loop.dispatcher()) { copied = store.revision }

        suspend fun restore() = withContext(loop.dispatcher()) { store.setFaults(StoreFaults(stepBackTo = copied)) }
    }

    private suspend fun PlatformFixture.copy() = Copy(fleet.store, fleet.storeLoop).also { it.take() }

    private suspend fun PlatformFixture.status(key: String? = "key-1", router: Int = 0): Int? =
        call(PlatformRequest("history", "r${requestNumber++}", key = key), router)?.status

    private suspend fun PlatformFixture.arrivals(server: PlatformFleet.RunningServer): Int {
        val before = server.server.receivedRequests.size
        repeat(REQUESTS) { status(router = it % 2) }
        return server.server.receivedRequests.size - before
    }

    /** Waits until both routers know of a change that was made after the store had come back. */
    private suspend fun PlatformFixture.awaitChangesOfNewEra() {
        val changed = fleet.plainServers.last()
        val moved = changed.endpoint.copy(coldMilliseconds = 1)
        fleet.storeAdmin.updateRegistration(moved.copy(draining = true))
        eventually("a change in the new era") { arrivals(changed) == 0 }
        fleet.storeAdmin.updateRegistration(moved)
        eventually("requests after the second change in the new era") { arrivals(changed) > 0 }
    }

    @Test
    fun `routers follow a store that gives revisions out again`() = fixture().run {
        val copy = copy()
        repeat(LOST_CHANGES) { fleet.storeAdmin.updateRegistration(fleet.plainServers.first().endpoint.cold(it)) }
        delay(SETTLING_MILLISECONDS)
        copy.restore()
        awaitChangesOfNewEra()
    }

    private fun Endpoint.cold(number: Int) = copy(coldMilliseconds = 1L + number)

    @Test
    fun `a key revoked before the loss stays refused, and others are accepted once the operator has written again`() =
        fixture(shortRevocationBound).run {
            val copy = copy()
            fleet.storeAdmin.updateConfiguration { it.copy(teams = it.teams.orEmpty().take(1).toImmutableList()) }
            eventually("refusal of the revoked key") { status("key-2") == 401 && status("key-2", router = 1) == 401 }
            copy.restore()
            repeat(40) {
                expectThat(status("key-2", router = it % 2)).isNotEqualTo(200)
                delay(100)
            }
            expectThat(status()).describedAs("a key while the store has an older configuration").isEqualTo(503)
            fleet.storeAdmin.updateConfiguration { it.copy(teams = it.teams.orEmpty().take(1).toImmutableList()) }
            eventually("an accepted key") { status() == 200 && status(router = 1) == 200 }
            expectThat(status("key-2")).isEqualTo(401)
        }

    @Test
    fun `servers that were draining or removed before the loss get no requests from the copy`() = fixture().run {
        val (first, second) = fleet.plainServers
        val extra = fleet.addPlainServer()
        eventually("requests at the third server") { arrivals(extra) > 0 }
        val copy = copy()
        fleet.storeAdmin.updateRegistration(first.endpoint.copy(draining = true))
        fleet.storeAdmin.deregister(second.endpoint)
        eventually("no request at the servers that leave") { arrivals(first) + arrivals(second) == 0 }
        copy.restore()
        awaitChangesOfNewEra()
        repeat(5) {
            expectThat(arrivals(first) + arrivals(second)).describedAs("requests at servers that left").isEqualTo(0)
        }
        fleet.storeAdmin.updateRegistration(second.endpoint.copy(coldMilliseconds = 1))
        eventually("requests at a server that has written again") { arrivals(second) > 0 }
    }

    @Test
    fun `servers whose leases are gone stay in use until they register again`() = fixture().run {
        val copy = copy()
        val extra = fleet.addPlainServer()
        eventually("requests at the third server") { arrivals(extra) > 0 }
        fleet.plainServers.take(2).forEach { fleet.storeAdmin.deregister(it.endpoint) }
        copy.restore()
        fleet.plainServers.take(2).forEach { fleet.storeAdmin.deregister(it.endpoint) }
        repeat(20) { expectThat(status(router = it % 2)).isEqualTo(200) }
    }

    @Test
    fun `a data centre stays evacuated although the store has lost the order, until it is back`() = fixture().run {
        val evacuated = fleet.plainServers.first()
        val copy = copy()
        fleet.storeAdmin.setEvacuated(evacuated.endpoint.dataCentre, true)
        eventually("no requests at the evacuated server") { arrivals(evacuated) == 0 }
        copy.restore()
        awaitChangesOfNewEra()
        expectThat(arrivals(evacuated)).isEqualTo(0)
        fleet.storeAdmin.setEvacuated(evacuated.endpoint.dataCentre, true)
        delay(SETTLING_MILLISECONDS)
        expectThat(arrivals(evacuated)).isEqualTo(0)
        fleet.storeAdmin.setEvacuated(evacuated.endpoint.dataCentre, false)
        eventually("requests after the end of the evacuation") { arrivals(evacuated) > 0 }
    }

    @Test
    fun `a bad version stays held although the store has lost the order to roll it out`() = fixture().run {
        val target = VersionName("v2")
        val bad = fleet.addEngine(target)
        setFaults(listOf(bad), PlatformServerFaults(failing = true))
        val copy = copy()
        val order = Rollout(model, target, Duration.ofSeconds(30), state = null, stateTarget = null)
        fleet.storeAdmin.orderRollout(order)
        eventually("the rollback") {
            repeat(4) { call(PlatformRequest("draft", "d${requestNumber++}", "8,7"), router = it % 2) }
            fleet.storeAdmin.rolloutState(model) == "rolled_back"
        }
        delay(SETTLING_MILLISECONDS)
        copy.restore()
        awaitChangesOfNewEra()
        val before = bad.server.receivedRequests.size
        repeat(REQUESTS) { call(PlatformRequest("draft", "d${requestNumber++}", "8,7"), router = it % 2) }
        expectThat(bad.server.receivedRequests.size).isEqualTo(before)
        fleet.storeAdmin.orderRollout(order)
        eventually("the rollback, written again") { fleet.storeAdmin.rolloutState(model) == "rolled_back" }
    }

    @Test
    fun `a router whose registration is lost registers again`() = PlatformFixture(routers = 2).apply {
        fleet.store.setFaults(StoreFaults(firstEra = 1))
    }.run {
        eventually("both registrations") { registrations() == 2 }
        withContext(fleet.storeLoop.dispatcher()) { fleet.store.setFaults(StoreFaults(stepBackTo = 2)) }
        eventually("both registrations again") { registrations() == 2 }
    }

    private suspend fun PlatformFixture.registrations() =
        withContext(fleet.storeLoop.dispatcher()) { fleet.store.names("routers").size }

    @Test
    fun `an answer of an earlier era changes nothing`() = fixture().run {
        val server = fleet.plainServers.first()
        val copy = copy()
        copy.restore()
        awaitChangesOfNewEra()
        setStoreFaults(StoreFaults(namedEra = 1))
        fleet.storeAdmin.updateRegistration(server.endpoint.copy(draining = true))
        delay(SETTLING_MILLISECONDS)
        expectThat(arrivals(server)).describedAs("requests while the store is at fault").isGreaterThan(0)
        expectThat(status()).isEqualTo(200)
        setStoreFaults(StoreFaults())
        eventually("no request at the draining server") { arrivals(server) == 0 }
    }

    @Test
    fun `a booking claimed before the loss does not run twice`() {
        val fixture = FleetFixture(LocalFleetOptions(routers = 2, engines = 1, services = 2))
        fixture.fleet.store.setFaults(StoreFaults(firstEra = 1))
        fixture.run {
            val copy = Copy(fleet.store, fleet.storeLoop)
            sendBooking("before")
            copy.take()
            val receipts = List(BOOKINGS) { "lost-$it" }
            receipts.forEach { sendBooking(it, router = 0) }
            receipts.forEach { expectThat(runCount(it)).isEqualTo(1) }
            copy.restore()
            repeat(3) { receipts.forEach { sendBooking(it, router = 1) } }
            delay(SETTLING_MILLISECONDS)
            receipts.forEach { sendBooking(it, router = 1) }
            receipts.forEach { expectThat(runCount(it)).describedAs("runs of $it").isEqualTo(1) }
            expectThat(runCount("before")).isEqualTo(1)
            sendBooking("after", router = 1)
            expectThat(runCount("after")).describedAs("runs of a new booking").isEqualTo(1)
            expectThat(withContext(fleet.storeLoop.dispatcher()) { fleet.store.names(ObjectKinds.CLAIMS.label) }.size)
                .isGreaterThan(0)
        }
    }

    private companion object {
        const val REQUESTS = 12
        const val LOST_CHANGES = 30
        const val SETTLING_MILLISECONDS = 1_500L
        const val BOOKINGS = 4
    }
}
