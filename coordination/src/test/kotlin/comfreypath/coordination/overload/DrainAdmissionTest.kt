package comfreypath.coordination.overload

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant

class DrainAdmissionTest {
    private val stoppedAt = Instant.ofEpochSecond(1_000)
    private val drain = DrainAdmission(noticedAt = stoppedAt.plusMillis(2_500), endsAt = stoppedAt.plusMillis(7_650))

    private fun admits(
        afterMilliseconds: Long,
        deadlineIn: Long,
        expected: Long?,
        repeatable: Boolean = false,
    ): Boolean {
        val now = stoppedAt.plusMillis(afterMilliseconds)
        return drain.admits(now, now.plusMillis(deadlineIn), expected?.let { Duration.ofMillis(it) }, repeatable)
    }

    @Test
    fun `a request that times out before the end of the grace period is taken`() {
        expectThat(admits(afterMilliseconds = 6_000, deadlineIn = 1_600, expected = 1_500)).isTrue()
    }

    @Test
    fun `a request that usually ends in time is taken`() {
        expectThat(admits(afterMilliseconds = 5_000, deadlineIn = 12_000, expected = 60)).isTrue()
    }

    @Test
    fun `a request that comes late in the grace period and would be cut off is refused`() {
        expectThat(admits(afterMilliseconds = 5_000, deadlineIn = 12_000, expected = 1_500)).isFalse()
    }

    @Test
    fun `a request that may be repeated is taken a little later than others`() {
        expectThat(admits(afterMilliseconds = 4_000, deadlineIn = 12_000, expected = 1_500)).isFalse()
        expectThat(admits(afterMilliseconds = 4_000, deadlineIn = 12_000, expected = 1_500, repeatable = true)).isTrue()
    }

    @Test
    fun `a request of unknown length is taken only while the platform sends new callers`() {
        expectThat(admits(afterMilliseconds = 2_000, deadlineIn = 12_000, expected = null)).isTrue()
        expectThat(admits(afterMilliseconds = 3_000, deadlineIn = 12_000, expected = null)).isFalse()
    }
}
