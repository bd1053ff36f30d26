package comfreypath.coordination.verdict

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import java.time.Duration

class RetryAfterPolicyTest {
    private val timeLeft = Duration.ofSeconds(4)
    private val unreachable = AttemptOutcome.NotSent("connect: refused")

    @Test
    fun `callers that retry once outlast a two-second outage of a service without a live endpoint`() {
        // The service is down from 0 to 2 s. A request arrives every 10 ms, and its caller retries once.
        fun served(retryAfter: (Int) -> Duration) = (0 until 200).count { number ->
            val arrivedAt = number * 10
            arrivedAt + retryAfter(number).toMillis() >= 2_000
        }
        val servedByPolicy = served { RetryAfterPolicy.delay(unreachable, timeLeft, jitter = (it % 10) / 10.0) }
        val servedAfterMinDelay = served { Duration.ofMillis(300) }
        expectThat(servedByPolicy).isGreaterThan(3 * servedAfterMinDelay)
    }

    @Test
    fun `the delay never exceeds what clients accept`() {
        val timesLeft = listOf(1_200L, 2_500L, 4_000L, 12_000L).map { Duration.ofMillis(it) }
        expectThat(timesLeft).all {
            get { RetryAfterPolicy.delay(unreachable, this, jitter = 1.0) }.and {
                get { toMillis() }.isLessThanOrEqualTo(2_400)
            }
        }
        timesLeft.forEach {
            expectThat(RetryAfterPolicy.delay(null, it, jitter = 1.0).toMillis())
                .isLessThan(maxOf(it.toMillis() / 3, 361))
        }
    }

    @Test
    fun `the delay of a full endpoint takes precedence, and is spread`() {
        val full = AttemptOutcome.NotRun(503, Duration.ofMillis(120))
        expectThat(RetryAfterPolicy.delay(full, timeLeft, jitter = 0.0)).isEqualTo(Duration.ofMillis(120))
        expectThat(RetryAfterPolicy.delay(full, timeLeft, jitter = 1.0)).isEqualTo(Duration.ofMillis(144))
        val limited = AttemptOutcome.NotRun(429, Duration.ofMillis(2_000))
        expectThat(RetryAfterPolicy.delay(limited, timeLeft, jitter = 0.0)).isEqualTo(Duration.ofMillis(2_000))
        expectThat(RetryAfterPolicy.delay(AttemptOutcome.NotRun(503, null), timeLeft, jitter = 0.0))
            .isEqualTo(Duration.ofMillis(300))
    }

    @Test
    fun `the pause of one endpoint does not keep callers from the others`() {
        val pausing = AttemptOutcome.NotRun(503, Duration.ofSeconds(30))
        expectThat(RetryAfterPolicy.delay(pausing, timeLeft, jitter = 0.0)).isEqualTo(Duration.ofMillis(300))
    }

    @Test
    fun `while all endpoints pause callers return over the second after the first pause`() {
        fun delay(jitter: Double) = RetryAfterPolicy.whenAllAreOut(Duration.ofSeconds(4), timeLeft, jitter)
        expectThat(listOf(0.0, 0.5, 1.0).map { delay(it).toMillis() }).isEqualTo(listOf(4_000L, 4_500L, 5_000L))
        expectThat(RetryAfterPolicy.whenAllAreOut(Duration.ofDays(9), timeLeft, 0.0)).isEqualTo(Duration.ofMinutes(1))
        expectThat(RetryAfterPolicy.whenAllAreOut(null, timeLeft, 0.0)).isEqualTo(Duration.ofSeconds(1))
    }

    @Test
    fun `callers that are refused together retry at different times`() {
        val delays = (0..4).map { RetryAfterPolicy.delay(unreachable, timeLeft, it / 4.0) }
        expectThat(delays.distinct().size).isEqualTo(5)
    }
}
