package comfreypath.coordination.endpointload

import comfreypath.coordination.placement.LoadProjection
import comfreypath.coordination.placement.LoadReports
import comfreypath.coordination.placement.ReportedLoad
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant

class RoomEstimatorTest {
    private val now: Instant = Instant.parse("2026-01-01T00:00:00Z")
    private val age = Duration.ofMillis(1_000)
    private val holdTime = Duration.ofMillis(1_200)
    private val projection = LoadProjection(LoadReports(8, age, holdTime), age, ownRecent = 8, candidates = 8)
    private val reported = ReportedLoad(own = 2, atPeers = 16, ownRecent = 1)

    private fun join(told: Int, ago: Long, load: ReportedLoad = reported) =
        RoomEstimator.join(EndpointRoom(told, now.minusMillis(ago)), load, projection, now)

    @Test
    fun `the own requests of a router are not counted twice`() {
        val full = EndpointReport(running = 5, waiting = 2, slots = 5)
        expectThat(EndpointRoom.of(full, own = 3, now).others).isEqualTo(4)
        val fewer = EndpointReport(running = 1, waiting = 0, slots = 5)
        expectThat(EndpointRoom.of(fewer, own = 3, now).others).isEqualTo(0)
    }

    @Test
    fun `a recent count of the endpoint itself goes before older reports of routers`() {
        expectThat(join(told = 40, ago = 5).expected).isGreaterThan(34.0)
        expectThat(join(told = 0, ago = 5).expected).isLessThan(7.0)
    }

    @Test
    fun `the older the endpoint's own count, the less it says and the larger the margin`() {
        val loads = listOf(5L, 300L, 1_000L, 3_000L).map { join(told = 0, ago = it) }
        loads.zipWithNext().forEach { (newer, older) ->
            expectThat(older.expected).isGreaterThan(newer.expected)
            expectThat(older.unreported).isGreaterThanOrEqualTo(newer.unreported)
        }
        expectThat(loads.last().expected).isIn(9.0..projection.of(reported).expected)
    }

    @Test
    fun `an endpoint that tells many routers of room counts as loaded once this router has sent it requests`() {
        val idle = join(told = 0, ago = 600, reported.copy(own = 0, ownRecent = 0)).expected
        val chosen = join(told = 0, ago = 600, reported.copy(own = 2, ownRecent = 2)).expected
        expectThat(chosen - idle).isGreaterThan(2.0 + 3.0)
    }

    @Test
    fun `a count is used for a few hold times only, and not while the hold time is unknown`() {
        val room = EndpointRoom(3, now.minusMillis(3_000))
        expectThat(RoomEstimator.isRecent(room, holdTime, now)).isTrue()
        expectThat(RoomEstimator.isRecent(room, Duration.ofMillis(900), now)).isFalse()
        expectThat(RoomEstimator.isRecent(room, null, now)).isFalse()
    }

    @Test
    fun `an endpoint that refuses as full has all its slots in use`() {
        expectThat(EndpointRoom.full(slots = 64, own = 3, now).others).isEqualTo(61)
    }
}
