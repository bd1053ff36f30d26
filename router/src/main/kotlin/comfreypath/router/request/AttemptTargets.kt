package comfreypath.router.request

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.verdict.Alternative
import comfreypath.coordination.verdict.RetryState
import comfreypath.coordination.verdict.StallPolicy
import java.time.Duration

/** The silence, in stall timeouts, after which a request also leaves an endpoint to which it can't return. */
private const val MAX_STALL_TIMEOUTS = 2L

/** Chooses the endpoints of one request's attempts. */
internal class AttemptTargets(private val dependencies: RelayDependencies, private val exchange: CallerExchange) {
    private val context = dependencies.context
    private val trackers = dependencies.trackers
    private val tried = HashSet<EndpointName>()
    private val left = HashSet<EndpointName>()
    private var reserved: Selection? = null

    /** The service at which a retry is held for the return to a silent endpoint; null if none is. */
    private var heldAt: ServiceName? = null
    private var returning = false

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
        val selected = when {
            taken != null -> SelectionResult.Selected(taken)
            returning -> dependencies.selector.select(exchange, tried, held = left)
            else -> null
        }
        returning = false
        return selected as? SelectionResult.Selected ?: selectOther(state)
    }

    /** Acquires the retry that is held for this request, for the silent endpoint; returns false if none is held. */
    fun acquireReturn(): Boolean {
        val service = heldAt ?: return false
        heldAt = null
        trackers.retries.acquireHeld(service)
        returning = true
        return true
    }

    /** Releases the retry that is held for this request, if any. */
    fun releaseReturn() {
        heldAt?.let { trackers.retries.release(it) }
        heldAt = null
    }

    private fun selectOther(state: RetryState): SelectionResult {
        val selected = dependencies.selector.select(exchange, tried)
        val mayReturn = left.isNotEmpty() && state.runs < state.route.maxAttempts && context.now() < state.deadline
        if (selected is SelectionResult.Selected || !mayReturn) {
            return selected
        }
        val returnable = left.toSet()
        tried -= returnable
        left.clear()
        return dependencies.selector.select(exchange, tried, held = returnable)
    }

    /** Reserves an endpoint and a retry for a request that is to leave [current], which is silent for [silence]. */
    fun reserve(current: Selection, silence: Duration): Alternative {
        val service = current.endpoint.service
        val held = exchange.firstByteAt == null && trackers.evidence.mustNotRepeat(exchange.request)
        // An endpoint that only takes no new requests completes what it has, unless it is dead.
        val mayGoOn = silence < silenceLimit(current).multipliedBy(MAX_STALL_TIMEOUTS)
        if (held || (mayGoOn && dependencies.selector.barsReturn(current))) {
            return Alternative.NO_ENDPOINT
        }
        val selected = if (trackers.retries.canHold(service)) dependencies.selector.select(exchange, tried) else null
        val other = (selected as? SelectionResult.Selected)?.selection?.takeIf { responsive(it) }
        return when {
            selected == null -> Alternative.NO_RETRY
            other == null -> Alternative.NO_ENDPOINT
            !trackers.retries.tryAcquireWithHold(service) -> Alternative.NO_RETRY
            else -> {
                releaseReturn()
                heldAt = service
                reserved = other
                Alternative.RESERVED
            }
        }
    }

    private fun responsive(selection: Selection): Boolean {
        val entry = trackers.endpoints.entry(selection.endpoint.name)
        return !entry.health.isEjected(context.now()) && !entry.stalled(context.now(), silenceLimit(selection))
    }

    private fun silenceLimit(selection: Selection): Duration {
        val patience = trackers.endpoints.entry(selection.endpoint.name).patience(context.now())
        return StallPolicy.timeout(exchange.route.latencyTarget, patience)
    }
}
