package comfreypath.coordination.limits

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.time.Duration
import java.time.Instant

class RetryBudgetTest {
    private val bounds = RetryBounds(share = 0.2, slack = 58.0, window = Duration.ofSeconds(10))
    private val start = Instant.ofEpochSecond(1_000)

    private class Sent(val at: Instant, val retry: Boolean)

    /** One router whose every request would be retried as often as possible, with so many milliseconds in between. */
    private fun storm(routers: Int, gap: Int, seconds: Int): List<Sent> {
        var allowance = RetryBudget(filledAt = start.minusSeconds(100)).refilled(start, bounds, routers)
        val sent = ArrayList<Sent>()
        for (millisecond in 0 until seconds * 1_000 step gap) {
            val now = start.plusMillis(millisecond.toLong())
            allowance = allowance.refilled(now, bounds, routers).afterRequest(bounds)
            sent += Sent(now, retry = false)
            while (allowance.allowsRetry) {
                allowance = allowance.afterRetry()
                sent += Sent(now, retry = true)
            }
        }
        return sent
    }

    @Property(tries = 60)
    fun `in any window all routers together stay within the share and the slack`(
        @ForAll @IntRange(min = 1, max = 40) routers: Int,
        @ForAll @IntRange(min = 5, max = 2_000) gap: Int,
    ) {
        val sent = storm(routers, gap, seconds = 25)
        for (second in 0..15) {
            val from = start.plusSeconds(second.toLong())
            val within = sent.filter { it.at >= from && it.at < from + bounds.window }
            val retries = within.count { it.retry } * routers
            val requests = within.count { !it.retry } * routers
            expectThat(retries.toDouble()).isLessThanOrEqualTo(bounds.share * requests + bounds.slack)
        }
    }

    @Test
    fun `single failures are retried at once`() {
        val allowance = RetryBudget(filledAt = start.minusSeconds(20)).refilled(start, bounds, routers = 9)
        expectThat(allowance.balance).isGreaterThan(2.0)
    }
}
