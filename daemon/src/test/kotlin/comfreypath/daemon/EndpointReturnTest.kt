package comfreypath.daemon

import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import comfreypath.standins.PlatformServerFaults
import comfreypath.transport.dispatcher
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Duration
import java.time.Instant

private const val REFUSED_REQUESTS = 20
private const val DOWNTIME_MILLISECONDS = 200L

/** Guards against an endpoint that stays out of use although it may be used again. */
class EndpointReturnTest {
    private val PlatformFixture.server: PlatformFleet.RunningServer get() = fleet.plainServers.first()

    private suspend fun PlatformFixture.expectRequestsRun(label: String) {
        var number = 0
        eventually("a request runs at ${server.server.name} $label") {
            val id = "$label-${number++}"
            call(PlatformRequest("history", id))
            withContext(server.loop.dispatcher()) { server.server.receivedRequests.any { it.id == id && it.ran } }
        }
    }

    /** Restarts the server under its ID, and registers the new start. */
    private suspend fun PlatformFixture.returnUnderSameId() {
        withContext(server.loop.dispatcher()) { server.server.restart(Duration.ofMillis(DOWNTIME_MILLISECONDS)) }
        fleet.storeAdmin.updateRegistration(server.endpoint.copy(startedAt = Instant.now().toEpochMilli()))
    }

    @Test
    fun `an endpoint that announced its leaving in responses receives requests after a return under its ID`() =
        PlatformFixture().run {
            setFaults(listOf(server), PlatformServerFaults(leaving = true))
            var number = 0
            eventually("a response says that the server leaves") {
                call(PlatformRequest("history", "leaving-${number++}"))?.headers
                    ?.get(PlatformHeaders.ENDPOINT) == server.server.name
            }
            returnUnderSameId()
            expectRequestsRun("returned")
        }

    @Test
    fun `an endpoint that announced its leaving in the store receives requests after a return under its ID`() =
        PlatformFixture().run {
            setFaults(listOf(server), PlatformServerFaults(leaving = true))
            fleet.storeAdmin.updateRegistration(server.endpoint.copy(draining = true))
            var number = 0
            eventually("requests go elsewhere") {
                call(PlatformRequest("history", "leaving-${number++}"))?.headers
                    ?.get(PlatformHeaders.ENDPOINT) == fleet.plainServers.last().server.name
            }
            returnUnderSameId()
            expectRequestsRun("returned")
        }

    @Test
    fun `an endpoint that asked for a long pause receives requests after a return under its ID`() =
        PlatformFixture().run {
            setFaults(listOf(server), PlatformServerFaults(retryAfter = "3000"))
            var number = 0
            eventually("the server has asked for a pause") {
                call(PlatformRequest("history", "pausing-${number++}"))
                withContext(server.loop.dispatcher()) { server.server.pauses.isNotEmpty() }
            }
            returnUnderSameId()
            expectRequestsRun("returned")
        }

    @ParameterizedTest
    @ValueSource(strings = ["0", "soon", "-1", "inf", "Infinity", "NaN", "Wed, 21 Oct 2999 07:28:00 GMT"])
    fun `a refusal whose time is no number of seconds takes no endpoint out of use`(retryAfter: String) =
        PlatformFixture().run {
            setFaults(listOf(server), PlatformServerFaults(retryAfter = retryAfter))
            val statuses = List(REFUSED_REQUESTS) { call(PlatformRequest("history", "refused-$it"))?.status }
            expectThat(statuses).describedAs("the other server has room").isEqualTo(List(REFUSED_REQUESTS) { 200 })
            val refused = withContext(server.loop.dispatcher()) { server.server.receivedRequests.count { !it.ran } }
            check(refused > 0) { "no request reached the server that refuses" }
            setFaults(listOf(server), PlatformServerFaults())
            expectRequestsRun("served")
        }
}
