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

    private class Attempt(val at: Instant, val retry: Boolean)

    /** The attempts of one router that gets a request every [gap] milliseconds and retries each as often as it may. */
    private fun retryStorm(routers: Int, gap: Int, seconds: Int): List<Attempt> {
        var budget = RetryBudget(filledAt = start.minusSeconds(100)).refilled(start, bounds, routers)
        val attempts = ArrayList<Attempt>()
        for (millisecond in 0 until seconds * 1_000 step gap) {
            val now = start.plusMillis(millisecond.toLong())
            budget = budget.refilled(now, bounds, routers).afterRequest(bounds)
            attempts += Attempt(now, retry = false)
            while (budget.allowsRetry) {
                budget = budget.afterRetry()
                attempts += Attempt(now, retry = true)
            }
        }
        return attempts
    }

    @Property(tries = 60)
    fun `in any window the retries of all routers stay within the share and the slack`(
        @ForAll @IntRange(min = 1, max = 40) routers: Int,
        @ForAll @IntRange(min = 5, max = 2_000) gap: Int,
    ) {
        val attempts = retryStorm(routers, gap, seconds = 25)
        for (second in 0..15) {
            val from = start.plusSeconds(second.toLong())
            val within = attempts.filter { it.at >= from && it.at < from + bounds.window }
            val retries = within.count { it.retry } * routers
            val requests = within.count { !it.retry } * routers
            expectThat(retries.toDouble()).isLessThanOrEqualTo(bounds.share * requests + bounds.slack)
        }
    }

    @Test
    fun `occasional failures can be retried at once`() {
        val budget = RetryBudget(filledAt = start.minusSeconds(20)).refilled(start, bounds, routers = 9)
        expectThat(budget.balance).isGreaterThan(2.0)
    }
}
