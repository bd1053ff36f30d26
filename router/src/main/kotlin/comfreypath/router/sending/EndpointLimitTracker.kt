package comfreypath.router.sending

import comfreypath.coordination.availability.Incarnation
import comfreypath.coordination.availability.incarnation
import comfreypath.coordination.limits.EndpointLimitChange
import comfreypath.coordination.limits.EndpointLimitEvent
import comfreypath.coordination.limits.EndpointLimitPolicy
import comfreypath.coordination.limits.EndpointLimits
import comfreypath.coordination.limits.KnownRouters
import comfreypath.coordination.limits.LimitShare
import comfreypath.coordination.limits.LimitShares
import comfreypath.coordination.model.RequestId
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.RouterContext
import comfreypath.router.request.EndpointResponseHead
import java.time.Duration
import java.time.Instant

/**
 * Keeps the request rates that endpoints name in their responses, and this router's share in each of them.
 *
 * @param routers returns the routers that share the rates
 */
class EndpointLimitTracker(private val context: RouterContext, private val routers: () -> KnownRouters) {
    private val policy = EndpointLimitPolicy()
    private val shares = LimitShares()
    private val unreadable = UnreadableAnnouncements(context, "rate_limit")
    private var state = EndpointLimits()
    private var sharesOf: KnownRouters? = null
    private val knownShares = HashMap<Incarnation, Pair<Double, LimitShare>>()

    /** True if an endpoint has a limit. */
    val anyLimited: Boolean get() = !state.isEmpty

    /** True if [endpoint] has a limit. */
    fun isLimited(endpoint: Endpoint): Boolean = endpoint.incarnation in state.byIncarnation

    /** True if this router may send a request to [endpoint] now. */
    fun allows(endpoint: Endpoint): Boolean = state.isEmpty || waitTime(endpoint).isZero

    /** The time until this router may send a request to [endpoint]; zero if it may now. */
    fun waitTime(endpoint: Endpoint): Duration {
        val incarnation = endpoint.incarnation
        val share = share(incarnation) ?: return Duration.ZERO
        return policy.waitTime(state, incarnation, share, context.now())
    }

    /** Counts a request that is sent to [endpoint] now; returns false if it may not be sent. */
    fun tryAcquire(endpoint: Endpoint): Boolean {
        val incarnation = endpoint.incarnation
        val share = share(incarnation) ?: return true
        val allowed = policy.waitTime(state, incarnation, share, context.now()).isZero
        if (allowed) apply(EndpointLimitEvent.Sent(incarnation, share), request = null)
        return allowed
    }

    /** This router's share in the limit of [incarnation]; null if it has no limit. */
    private fun share(incarnation: Incarnation): LimitShare? {
        val rate = state.byIncarnation[incarnation]?.rate ?: return null
        val known = routers()
        if (known != sharesOf) {
            knownShares.clear()
            sharesOf = known
        }
        val share = knownShares[incarnation]?.takeIf { it.first == rate }?.second
            ?: shares.of(incarnation.name, rate, known).also { knownShares[incarnation] = rate to it }
        state = policy.withShare(state, incarnation, share, context.now())
        return share
    }

    /**
     * Learns from [head], which [endpoint] has sent in response to [request], whether the endpoint limits its rate. A
     * head that does not name the request, or that another endpoint has sent, says nothing.
     *
     * @param sentAt when the request was sent
     */
    fun observe(endpoint: Endpoint, head: EndpointResponseHead, request: RequestId, sentAt: Instant) {
        val rate = head.rateLimit
        val text = head.unreadableRateLimit
        val concerned = rate != null || text != null || !state.isEmpty
        if (!concerned || !head.isFrom(endpoint, request)) return
        when {
            rate != null -> {
                context.metrics.announcements.labelValues("rate_limit").inc()
                apply(EndpointLimitEvent.RateNamed(endpoint.incarnation, rate, sentAt), request)
            }
            text != null -> unreadable.record(endpoint.name, text, request)
            else -> apply(EndpointLimitEvent.NoRateNamed(endpoint.incarnation, sentAt), request)
        }
    }

    /** Drops what is no longer in force; [isRegistered] tells which incarnations have an entry. */
    fun sweep(isRegistered: (Incarnation) -> Boolean) {
        unreadable.sweep()
        if (!state.isEmpty) {
            apply(EndpointLimitEvent.EntriesSeen(isRegistered), request = null)
        }
        knownShares.keys.retainAll(state.byIncarnation.keys)
    }

    private fun apply(event: EndpointLimitEvent, request: RequestId?) {
        val (next, changes) = policy.after(state, event, context.now())
        state = next
        if (changes.isNotEmpty()) {
            changes.forEach { record(it, request) }
            context.metrics.endpointsLimited.set(state.byIncarnation.size.toDouble())
        }
    }

    private fun record(change: EndpointLimitChange, request: RequestId?) = when (change) {
        is EndpointLimitChange.Limited -> context.log.record(
            "endpoint_limits_rate",
            "request" to request,
            "endpoint" to change.incarnation.name,
            "perSecond" to change.rate,
            "previous" to change.previous,
            "ownShare" to share(change.incarnation)?.toString(),
        )
        is EndpointLimitChange.Ended -> context.log.record(
            "endpoint_rate_limit_ended",
            "request" to request,
            "endpoint" to change.incarnation.name,
            "perSecond" to change.rate,
            "reason" to change.reason,
        )
    }
}
