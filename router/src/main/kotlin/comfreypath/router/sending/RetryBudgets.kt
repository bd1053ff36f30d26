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

    /** True if a retry at [service] can be acquired. */
    fun available(service: ServiceName): Boolean = current(service).allowsRetry

    /** Acquires one retry at [service]; returns false if the budget is exhausted. */
    fun tryAcquire(service: ServiceName): Boolean {
        val budget = current(service)
        budgets[service] = if (budget.allowsRetry) budget.afterRetry() else budget
        return budget.allowsRetry
    }
}
