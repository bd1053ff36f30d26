package comfreypath.router.sending

import comfreypath.coordination.limits.RetryAllowance
import comfreypath.coordination.model.ServiceName
import comfreypath.router.RouterContext

/**
 * The attempts beyond the first that this router may still make at each service.
 *
 * @property routers the number of live routers
 */
class RetryLedger(private val context: RouterContext, private val routers: () -> Int) {
    private val allowances = HashMap<ServiceName, RetryAllowance>()
    private val bounds get() = context.options.bounds.retries

    private fun current(service: ServiceName): RetryAllowance =
        (allowances[service] ?: RetryAllowance()).at(context.now(), bounds, routers())

    /** Counts a request's first attempt at [service]. */
    fun requested(service: ServiceName) {
        allowances[service] = current(service).requested(bounds)
    }

    /** Takes one further attempt at [service] if it is allowed. */
    fun take(service: ServiceName): Boolean {
        val allowance = current(service)
        allowances[service] = if (allowance.allows) allowance.retried() else allowance
        return allowance.allows
    }
}
