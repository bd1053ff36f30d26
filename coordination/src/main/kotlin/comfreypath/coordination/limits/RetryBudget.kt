package comfreypath.coordination.limits

import java.time.Duration
import java.time.Instant

private const val SHARE_UTILIZATION = 0.8

/**
 * The fractions of a router's slack that it may accumulate and that it regains in each window. Their sum is below 1, so
 * that no window exceeds the slack.
 */
private const val MAX_BALANCE_SHARE = 0.5
private const val REFILL_SHARE = 0.4

/**
 * The operators' limit on the retries that the whole fleet sends to a service.
 *
 * @property share the number of retries per request
 * @property slack the number of retries in each [window] in addition to that share
 */
data class RetryBounds(val share: Double, val slack: Double, val window: Duration)

/**
 * One router's share of the retries that a service can sustain: a fraction of its own requests, and an equal part of
 * the slack.
 *
 * Protects against load that retries multiply: callers that retry at once and often, and servers that refuse or lose
 * many requests. Only part of the limit is used, since routers may disagree about how many of them are live.
 *
 * A request that leaves a silent endpoint for another one that then refuses it has nowhere to go without a second
 * retry. That one is held for it until the other endpoint responds; the last one held may overdraw the balance by one.
 *
 * @property balance the number of retries available at [filledAt]; below 0 after an overdraft
 * @property held the number of requests for which a retry is held
 */
data class RetryBudget(val balance: Double = 0.0, val filledAt: Instant = Instant.EPOCH, val held: Int = 0) {
    /** The budget after the first attempt of a request. */
    fun afterRequest(bounds: RetryBounds): RetryBudget = copy(balance = balance + bounds.share * SHARE_UTILIZATION)

    /** The budget at [now] of one of [routers] routers. */
    fun refilled(now: Instant, bounds: RetryBounds, routers: Int): RetryBudget {
        val slack = bounds.slack / routers.coerceAtLeast(1)
        val elapsed = Duration.between(filledAt, now).toMillis().toDouble() / bounds.window.toMillis()
        val refill = slack * REFILL_SHARE * elapsed.coerceIn(0.0, 1.0)
        return copy(balance = (balance + refill).coerceAtMost(maxOf(1.0, slack * MAX_BALANCE_SHARE)), filledAt = now)
    }

    /** True if a retry is allowed. */
    val allowsRetry: Boolean get() = balance - (held - 1).coerceAtLeast(0) >= 1.0

    /** True if a retry is allowed and another one can be held. */
    val allowsHold: Boolean get() = balance - held >= 1.0

    /** The budget after a retry. */
    fun afterRetry(): RetryBudget = copy(balance = balance - 1.0)

    /** The budget after a retry for which another one is held. */
    fun afterRetryWithHold(): RetryBudget = afterRetry().copy(held = held + 1)

    /** The budget after a retry is no longer held. */
    fun afterRelease(): RetryBudget = copy(held = held - 1)
}
