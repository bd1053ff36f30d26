package comfreypath.coordination.limits

import java.time.Duration
import java.time.Instant

private const val USED_SHARE = 0.8

/** What a router may save up of its part of the slack, and what it regains in a window: together less than all. */
private const val SAVED_SHARE = 0.5
private const val REGAINED_SHARE = 0.4

/**
 * What operators allow the whole fleet to send beyond the first attempt of each request to a service.
 *
 * @property share the retries for each request
 * @property slack the retries in one [window] beside that share
 */
data class RetryBounds(val share: Double, val slack: Double, val window: Duration)

/**
 * One router's part of the retries that a service bears: a share of its own requests, and an equal part of the slack.
 *
 * It answers clients that retry at once and often, and servers that refuse or lose much, where retries would multiply
 * the load. The part that is used leaves room for routers that disagree about how many they are.
 */
data class RetryBudget(val balance: Double = 0.0, val filledAt: Instant = Instant.EPOCH) {
    /** The allowance after a request's first attempt. */
    fun afterRequest(bounds: RetryBounds): RetryBudget = copy(balance = balance + bounds.share * USED_SHARE)

    /** The allowance at [now], for one of [routers] routers. */
    fun refilled(now: Instant, bounds: RetryBounds, routers: Int): RetryBudget {
        val slack = bounds.slack / routers.coerceAtLeast(1)
        val elapsed = Duration.between(filledAt, now).toMillis().toDouble() / bounds.window.toMillis()
        val gained = slack * REGAINED_SHARE * elapsed.coerceIn(0.0, 1.0)
        return copy(balance = (balance + gained).coerceAtMost(maxOf(1.0, slack * SAVED_SHARE)), filledAt = now)
    }

    /** True when one more attempt is allowed. */
    val allowsRetry: Boolean get() = balance >= 1.0

    /** The allowance after an attempt beyond the first. */
    fun afterRetry(): RetryBudget = copy(balance = balance - 1.0)
}
