package comfreypath.coordination.facts

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant

class SuspensionDetectorTest {
    private val steady = Instant.ofEpochSecond(1_000)
    private val wallClock = Instant.ofEpochSecond(5_000)
    private val detector = SuspensionDetector(Duration.between(steady, wallClock))

    private fun skewed(steadyMillis: Long, wallClockMillis: Long) =
        detector.compareClocks(steady.plusMillis(steadyMillis), wallClock.plusMillis(wallClockMillis)).second

    @Test
    fun `clocks that advance equally are no sign of a suspension`() {
        expectThat(skewed(steadyMillis = 4_000, wallClockMillis = 4_010)).isFalse()
    }

    @Test
    fun `a steady clock that stopped is a sign of a suspension`() {
        expectThat(skewed(steadyMillis = 10, wallClockMillis = 3_000)).isTrue()
    }

    @Test
    fun `a step of the wall clock in either direction counts as a suspension`() {
        expectThat(skewed(steadyMillis = 100, wallClockMillis = 2_500)).isTrue()
        expectThat(skewed(steadyMillis = 100, wallClockMillis = -2_300)).isTrue()
    }

    @Test
    fun `after a step the clocks are compared with the new offset`() {
        val (next, _) = detector.compareClocks(steady, wallClock.plusSeconds(3))
        expectThat(next.compareClocks(steady.plusSeconds(1), wallClock.plusSeconds(4)).second).isFalse()
    }
}
