package comfreypath.daemon

import comfreypath.coordination.invariant.Invariant
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.standins.PlatformServerFaults
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import java.time.Duration

class GracefulStopTest {
    @Test
    fun `a request that outlasts the grace period gets an answer instead of a closed connection`() {
        val fixture = PlatformFixture { it.copy(timeouts = it.timeouts.copy(grace = Duration.ofMillis(3_000))) }
        runBlocking {
            fixture.fleet.start()
            try {
                fixture.setPlainServerFaults(PlatformServerFaults(silent = true))
                val response = async { fixture.call(PlatformRequest("book", "b1", body = ByteArray(1))) }
                fixture.eventually("the request has reached a server") { fixture.requestsSeen("b1").isNotEmpty() }
                fixture.fleet.stopRouter(fixture.fleet.routers.single())
                expectThat(response.await()?.status).isEqualTo(502)
            } finally {
                fixture.fleet.stop()
            }
        }
        expectThat(fixture.fleet.violations.map { it.invariant }).all { isEqualTo(Invariant.GRACEFUL_STOP) }
    }
}
