package comfreypath.coordination.facts

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant

class SuspensionDetectorTest {
    private val steady = Instant.ofEpochSecond(1_000)
    private val timeOfDay = Instant.ofEpochSecond(5_000)
    private val detector = SuspensionDetector(Duration.between(steady, timeOfDay))

    private fun apart(steadyLater: Long, timeOfDayLater: Long) =
        detector.compareClocks(steady.plusMillis(steadyLater), timeOfDay.plusMillis(timeOfDayLater)).second

    @Test
    fun `clocks that run alike are no sign of a suspension`() {
        expectThat(apart(steadyLater = 4_000, timeOfDayLater = 4_010)).isFalse()
    }

    @Test
    fun `a steady clock that stood still is`() {
        expectThat(apart(steadyLater = 10, timeOfDayLater = 3_000)).isTrue()
    }

    @Test
    fun `a time of day that jumped either way is taken for one`() {
        expectThat(apart(steadyLater = 100, timeOfDayLater = 2_500)).isTrue()
        expectThat(apart(steadyLater = 100, timeOfDayLater = -2_300)).isTrue()
    }

    @Test
    fun `after a jump the clocks are compared anew`() {
        val (next, _) = detector.compareClocks(steady, timeOfDay.plusSeconds(3))
        expectThat(next.compareClocks(steady.plusSeconds(1), timeOfDay.plusSeconds(4)).second).isFalse()
    }
}
