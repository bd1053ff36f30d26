package comfreypath.router.sending

import comfreypath.coordination.availability.Availability
import comfreypath.coordination.availability.AvailabilityChange
import comfreypath.coordination.availability.AvailabilityEvent
import comfreypath.coordination.availability.AvailabilityPolicy
import comfreypath.coordination.availability.EndpointAnnouncements
import comfreypath.coordination.availability.FleetPosition
import comfreypath.coordination.availability.Incarnation
import comfreypath.coordination.availability.RecoveryLimits
import comfreypath.coordination.availability.incarnation
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.RequestId
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.RouterContext
import comfreypath.router.request.EndpointResponseHead
import java.time.Instant

/** Keeps what endpoints announce in their responses, and logs when they are taken out and when they are back. */
class AnnouncementTracker(private val context: RouterContext) {
    private val policy = AvailabilityPolicy()
    private val recoveryLimits = RecoveryLimits()
    private val unreadable = UnreadableAnnouncements(context, "pause")
    private var state = EndpointAnnouncements()

    /** Whether [endpoint] may get new requests now. */
    fun of(endpoint: Endpoint): Availability =
        if (state.isEmpty) Availability.Open else policy.availability(state, endpoint.incarnation, context.now())

    /**
     * Leaves out the [endpoints] whose pause has just ended and at which this router has as many requests [inFlight] as
     * it should.
     */
    fun withRoom(
        endpoints: List<Endpoint>,
        peers: Collection<InstanceName>,
        inFlight: (Endpoint) -> Int,
    ): List<Endpoint> = if (state.isEmpty) {
        endpoints
    } else {
        recoveryLimits.withRoom(endpoints, FleetPosition.of(context.options.name, peers), ::of, inFlight)
    }

    /**
     * Learns what [head], which [endpoint] has sent in response to [request], announces. A head that does not name the
     * request, or that another endpoint has sent, announces nothing.
     */
    fun observe(endpoint: Endpoint, head: EndpointResponseHead, request: RequestId) {
        val announces = head.leaving || head.pause != null || head.unreadablePause != null
        if (announces && head.isFrom(endpoint, request)) {
            head.unreadablePause?.let { unreadable.record(endpoint.name, it, request) }
            head.pause?.let {
                context.metrics.announcements.labelValues("pause").inc()
                apply(AvailabilityEvent.PauseRequested(endpoint.incarnation, it), request)
            }
            if (head.leaving) {
                context.metrics.announcements.labelValues("leaving").inc()
                apply(AvailabilityEvent.LeavingAnnounced(endpoint.incarnation), request)
            }
        }
    }

    /** Drops what is no longer in force; [isRegistered] tells which incarnations have an entry. */
    fun sweep(isRegistered: (Incarnation) -> Boolean) {
        unreadable.sweep()
        if (!state.isEmpty) {
            apply(AvailabilityEvent.EntriesSeen(isRegistered), request = null)
        }
    }

    private fun apply(event: AvailabilityEvent, request: RequestId?) {
        val now = context.now()
        val (next, changes) = policy.after(state, event, now)
        state = next
        changes.forEach { record(it, request) }
        if (changes.isNotEmpty() || event is AvailabilityEvent.EntriesSeen) {
            updateGauges(now)
        }
    }

    private fun updateGauges(now: Instant) {
        val availabilities = state.byIncarnation.keys.map { policy.availability(state, it, now) }
        context.metrics.endpointsOut.labelValues("leaving")
            .set(availabilities.count { it is Availability.Leaving }.toDouble())
        context.metrics.endpointsOut.labelValues("paused")
            .set(availabilities.count { it is Availability.Paused }.toDouble())
    }

    private fun record(change: AvailabilityChange, request: RequestId?) = when (change) {
        is AvailabilityChange.TakenOut -> context.log.record(
            "endpoint_leaves",
            "request" to request,
            "endpoint" to change.incarnation.name,
            "startedAt" to change.incarnation.startedAt,
        )
        is AvailabilityChange.Paused -> context.log.record(
            "endpoint_paused",
            "request" to request,
            "endpoint" to change.incarnation.name,
            "forMs" to change.time.toMillis(),
        )
        is AvailabilityChange.Cleared -> context.log.record(
            "endpoint_announcement_ended",
            "endpoint" to change.incarnation.name,
            "reason" to change.reason,
        )
    }
}
