package comfreypath.router.sending

import comfreypath.coordination.limits.RetryBudget
import comfreypath.coordination.model.ServiceName
import comfreypath.router.RouterContext

/**
 * The attempts beyond the first that this router may still make at each service.
 *
 * @property routers the number of live routers
 */
class RetryBudgets(private val context: RouterContext, private val routers: () -> Int) {
    private val allowances = HashMap<ServiceName, RetryBudget>()
    private val bounds get() = context.options.bounds.retries

    private fun current(service: ServiceName): RetryBudget =
        (allowances[service] ?: RetryBudget()).refilled(context.now(), bounds, routers())

    /** Counts a request's first attempt at [service]. */
    fun recordRequest(service: ServiceName) {
        allowances[service] = current(service).afterRequest(bounds)
    }

    /** Takes one further attempt at [service] if it is allowed. */
    fun tryAcquire(service: ServiceName): Boolean {
        val allowance = current(service)
        allowances[service] = if (allowance.allowsRetry) allowance.afterRetry() else allowance
        return allowance.allowsRetry
    }
}
