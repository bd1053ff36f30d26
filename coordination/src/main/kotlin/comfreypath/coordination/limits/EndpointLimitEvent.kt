package comfreypath.coordination.limits

import comfreypath.coordination.availability.Incarnation
import java.time.Instant

/** What a router has learned about the request rates that endpoints take. */
sealed interface EndpointLimitEvent {
    /**
     * A response matched to its request names the request rate that [incarnation] takes from all routers.
     *
     * @property rate requests per second
     * @property sentAt when the request was sent
     */
    data class RateNamed(val incarnation: Incarnation, val rate: Double, val sentAt: Instant) : EndpointLimitEvent

    /** A response matched to its request, which was sent at [sentAt], names no rate. */
    data class NoRateNamed(val incarnation: Incarnation, val sentAt: Instant) : EndpointLimitEvent

    /** A request is sent to [incarnation] by a router with this [share]. */
    data class Sent(val incarnation: Incarnation, val share: LimitShare) : EndpointLimitEvent

    /** The entries of the store were looked at; [isRegistered] tells which incarnations have one. */
    class EntriesSeen(val isRegistered: (Incarnation) -> Boolean) : EndpointLimitEvent
}

/** A change of the request rate that an endpoint takes. */
sealed interface EndpointLimitChange {
    /** The endpoint that the change is about. */
    val incarnation: Incarnation

    /** The endpoint takes [rate] requests per second instead of [previous], which is null if it had no limit. */
    data class Limited(override val incarnation: Incarnation, val rate: Double, val previous: Double?) :
        EndpointLimitChange

    /** The endpoint, which took [rate] requests per second, has no limit any more, or none is known. */
    data class Ended(override val incarnation: Incarnation, val rate: Double, val reason: LimitEnd) :
        EndpointLimitChange
}

/** Why a limit is no longer in force. */
enum class LimitEnd {
    /** The endpoint has responded without naming a rate. */
    NOT_NAMED,

    /** The incarnation has no entry any more. */
    ENTRY_GONE,

    /** Too many limits were known. */
    EVICTED,
}
