package comfreypath.router.sending

import comfreypath.coordination.limits.RetryBudget
import comfreypath.coordination.model.ServiceName
import comfreypath.router.RouterContext

/**
 * Limits the retries that this router sends to each service.
 *
 * @property routerCount returns the number of live routers, which share the budget
 */
class RetryBudgets(private val context: RouterContext, private val routerCount: () -> Int) {
    private val budgets = HashMap<ServiceName, RetryBudget>()
    private val bounds get() = context.options.bounds.retries

    private fun current(service: ServiceName): RetryBudget =
        (budgets[service] ?: RetryBudget()).refilled(context.now(), bounds, routerCount())

    /** Adds to the budget of [service] for a request's first attempt. */
    fun recordRequest(service: ServiceName) {
        budgets[service] = current(service).afterRequest(bounds)
    }

    /** True if a retry at [service] can be acquired and another one held. */
    fun canHold(service: ServiceName): Boolean = current(service).allowsHold

    /** Acquires one retry at [service] and holds another one; returns false if the budget is exhausted. */
    fun tryAcquireWithHold(service: ServiceName): Boolean {
        val budget = current(service)
        budgets[service] = if (budget.allowsHold) budget.afterRetryWithHold() else budget
        return budget.allowsHold
    }

    /** Acquires the retry at [service] that was held. */
    fun acquireHeld(service: ServiceName) {
        budgets[service] = current(service).afterRelease().afterRetry()
    }

    /** Releases a retry at [service] that was held in vain. */
    fun release(service: ServiceName) {
        budgets[service] = current(service).afterRelease()
    }

    /** Acquires one retry at [service]; returns false if the budget is exhausted. */
    fun tryAcquire(service: ServiceName): Boolean {
        val budget = current(service)
        budgets[service] = if (budget.allowsRetry) budget.afterRetry() else budget
        return budget.allowsRetry
    }
}
