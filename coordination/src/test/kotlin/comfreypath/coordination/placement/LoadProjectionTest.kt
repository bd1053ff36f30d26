package comfreypath.coordination.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import java.time.Duration

class LoadProjectionTest {
    private val age = Duration.ofMillis(600)
    private val holdTime = Duration.ofMillis(1_200)

    private fun projection(peers: Int, ownRecent: Int, candidates: Int, holdTime: Duration? = this.holdTime) =
        LoadProjection(LoadReports(peers, age, holdTime), age, ownRecent, candidates)

    @Test
    fun `an endpoint that all routers find idle counts as loaded once each has sent a few requests`() {
        val idle = projection(peers = 8, ownRecent = 8, candidates = 8)
        val before = idle.of(ReportedLoad(own = 0, atPeers = 2, ownRecent = 0)).expected
        val after = idle.of(ReportedLoad(own = 3, atPeers = 2, ownRecent = 3)).expected
        expectThat(after - before).isGreaterThan(3.0 + 5.0)
    }

    @Test
    fun `an endpoint with an even share of steady traffic keeps the load that was reported`() {
        val steady = projection(peers = 8, ownRecent = 8, candidates = 8)
        val sentInAge = 8 * 0.6 / 1.2
        expectThat(steady.of(ReportedLoad(own = 2, atPeers = 16, ownRecent = 1)).expected).isIn(17.0..19.0 + sentInAge)
    }

    @Test
    fun `a single request tells little in a large fleet`() {
        val large = projection(peers = 73, ownRecent = 3, candidates = 42)
        val none = large.of(ReportedLoad(own = 0, atPeers = 8, ownRecent = 0)).expected
        val one = large.of(ReportedLoad(own = 1, atPeers = 8, ownRecent = 1)).expected
        expectThat(one - none).isLessThan(8.0)
        expectThat(one - none).isGreaterThan(1.0)
    }

    @Test
    fun `a router without peers counts its own requests`() {
        val estimate = projection(peers = 0, ownRecent = 8, candidates = 8).of(ReportedLoad(3, 0, 3))
        expectThat(estimate).isEqualTo(LoadEstimate(3.0, 0.0))
    }

    @Test
    fun `reports count in full while the time for which requests are in flight is not known`() {
        val estimate = projection(peers = 8, ownRecent = 0, candidates = 8, holdTime = null).of(ReportedLoad(1, 9, 0))
        expectThat(estimate.expected).isEqualTo(10.0)
    }

    @Test
    fun `the window is as long as the reports are old, and longer for a router with few requests`() {
        val reports = LoadReports(8, age, holdTime)
        expectThat(LoadProjection.window(reports, candidates = 8) { 800 }).isEqualTo(age)
        expectThat(LoadProjection.window(reports, candidates = 8) { 16 }).isEqualTo(Duration.ofMillis(2_500))
        expectThat(LoadProjection.window(reports, candidates = 8) { 0 }).isGreaterThanOrEqualTo(Duration.ofSeconds(5))
    }
}
