package comfreypath.coordination.limits

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
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

    @Property(tries = 60)
    fun `requests that leave a silent endpoint can return and overdraw the budget by one at most`(
        @ForAll @IntRange(min = 1, max = 40) routers: Int,
        @ForAll @IntRange(min = 0, max = 30) ordinary: Int,
    ) {
        var budget = RetryBudget(filledAt = start.minusSeconds(100)).refilled(start, bounds, routers)
        repeat(10) { budget = budget.afterRequest(bounds) }
        var left = 0
        while (budget.allowsHold) {
            budget = budget.afterRetryWithHold()
            left += 1
        }
        repeat(ordinary) { if (budget.allowsRetry) budget = budget.afterRetry() }
        repeat(left) { budget = budget.afterRelease().afterRetry() }
        expectThat(left).isGreaterThan(0)
        expectThat(budget.balance).isGreaterThanOrEqualTo(-1.0)
        expectThat(budget.held).isEqualTo(0)
    }
}
