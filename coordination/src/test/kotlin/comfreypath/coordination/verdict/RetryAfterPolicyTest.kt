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
    fun `callers of a service without a live endpoint outlast an outage of two seconds when they return once`() {
        // The service is gone from 0 to 2 s; a request comes each 10 ms and its caller returns once.
        fun served(advice: (Int) -> Duration) = (0 until 200).count { number ->
            val arrivedAt = number * 10
            arrivedAt + advice(number).toMillis() >= 2_000
        }
        val advised = served { RetryAfterPolicy.delay(unreachable, timeLeft, jitter = (it % 10) / 10.0) }
        val atOnce = served { Duration.ofMillis(300) }
        expectThat(advised).isGreaterThan(3 * atOnce)
    }

    @Test
    fun `advice is never longer than clients follow`() {
        val times = listOf(1_200L, 2_500L, 4_000L, 12_000L).map { Duration.ofMillis(it) }
        expectThat(times).all {
            get { RetryAfterPolicy.delay(unreachable, this, jitter = 1.0) }.and {
                get { toMillis() }.isLessThanOrEqualTo(2_400)
            }
        }
        times.forEach {
            expectThat(RetryAfterPolicy.delay(null, it, jitter = 1.0).toMillis())
                .isLessThan(maxOf(it.toMillis() / 3, 361))
        }
    }

    @Test
    fun `a full endpoint's own word goes first`() {
        val full = AttemptOutcome.NotRun(503, Duration.ofMillis(120))
        expectThat(RetryAfterPolicy.delay(full, timeLeft, jitter = 0.7)).isEqualTo(Duration.ofMillis(120))
        expectThat(RetryAfterPolicy.delay(AttemptOutcome.NotRun(503, null), timeLeft, jitter = 0.0))
            .isEqualTo(Duration.ofMillis(300))
    }

    @Test
    fun `those that are refused together come back apart`() {
        val advice = (0..4).map { RetryAfterPolicy.delay(unreachable, timeLeft, it / 4.0) }
        expectThat(advice.distinct().size).isEqualTo(5)
    }
}
