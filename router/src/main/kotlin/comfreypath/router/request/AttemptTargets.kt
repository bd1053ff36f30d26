package comfreypath.router.request

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.verdict.Alternative
import comfreypath.coordination.verdict.RetryState
import comfreypath.coordination.verdict.StallPolicy

/** Chooses the endpoints of one request's attempts. */
internal class AttemptTargets(private val dependencies: RelayDependencies, private val exchange: CallerExchange) {
    private val context = dependencies.context
    private val trackers = dependencies.trackers
    private val tried = HashSet<EndpointName>()
    private val left = HashSet<EndpointName>()
    private var reserved: Selection? = null

    /** True while an endpoint is reserved for the next attempt. */
    val hasReserved: Boolean get() = reserved != null

    /** True until the first attempt has begun. */
    var untried = true
        private set

    /** Records that an attempt at the endpoint called [name] begins. */
    fun recordTried(name: EndpointName) {
        untried = false
        tried += name
    }

    /** Records that nothing was sent to the endpoint called [name], so that it counts as not tried. */
    fun recordWithheld(name: EndpointName) {
        tried -= name
    }

    /** Records that the request left the endpoint called [name] because it was silent. */
    fun recordLeft(name: EndpointName) {
        left += name
    }

    /** Selects the endpoint that was reserved, or any that was not tried, or else one that was left as silent. */
    fun select(state: RetryState): SelectionResult {
        val taken = reserved?.takeIf { dependencies.selector.accepts(it) }
        reserved = null
        return if (taken == null) selectOther(state) else SelectionResult.Selected(taken)
    }

    private fun selectOther(state: RetryState): SelectionResult {
        val selected = dependencies.selector.select(exchange, tried)
        val mayReturn = left.isNotEmpty() && state.runs < state.route.maxAttempts && context.now() < state.deadline
        if (selected is SelectionResult.Selected || !mayReturn) {
            return selected
        }
        tried -= left
        left.clear()
        return dependencies.selector.select(exchange, tried)
    }

    /** Reserves an endpoint and a retry for a request that is to leave [current]. */
    fun reserve(current: Selection): Alternative {
        val service = current.endpoint.service
        if (exchange.firstByteAt == null && trackers.evidence.mustNotRepeat(exchange.request)) {
            return Alternative.NO_ENDPOINT
        }
        val selected = if (trackers.retries.available(service)) dependencies.selector.select(exchange, tried) else null
        val other = (selected as? SelectionResult.Selected)?.selection?.takeIf { responsive(it) }
        return when {
            selected == null -> Alternative.NO_RETRY
            other == null -> Alternative.NO_ENDPOINT
            !trackers.retries.tryAcquire(service) -> Alternative.NO_RETRY
            else -> {
                reserved = other
                Alternative.RESERVED
            }
        }
    }

    private fun responsive(selection: Selection): Boolean {
        val entry = trackers.endpoints.entry(selection.endpoint.name)
        val silenceLimit = StallPolicy.timeout(exchange.route.latencyTarget)
        return !entry.health.isEjected(context.now()) && !entry.stalled(context.now(), silenceLimit)
    }
}
