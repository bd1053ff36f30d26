package comfreypath.router.store

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Duration
import java.time.Instant
import java.time.InstantSource

class StoreReachabilityTest {
    private var now = Instant.ofEpochSecond(1_000)
    private val outages = mutableListOf<Duration>()
    private val reachability = StoreReachability(InstantSource { now }, outages::add)

    private fun pass(milliseconds: Long) {
        now = now.plusMillis(milliseconds)
    }

    @Test
    fun `a call that got no response has failed since it was sent`() {
        reachability.recordFailure(unansweredSince = now.minusMillis(1_500))
        pass(300)
        reachability.recordFailure()
        reachability.recordResponse()
        expectThat(outages).containsExactly(Duration.ofMillis(1_800))
        expectThat(reachability.failingFor).isEqualTo(Duration.ZERO)
    }

    @Test
    fun `a response to another call shortens the failure`() {
        val sentAt = now
        pass(1_000)
        reachability.recordResponse()
        pass(500)
        reachability.recordFailure(unansweredSince = sentAt)
        expectThat(reachability.failingFor).isEqualTo(Duration.ofMillis(500))
    }

    @Test
    fun `responses without a failure are no recovery`() {
        repeat(3) { reachability.recordResponse() }
        expectThat(outages).isEmpty()
    }
}
