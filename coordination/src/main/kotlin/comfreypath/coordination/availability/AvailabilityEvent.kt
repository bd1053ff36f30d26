package comfreypath.coordination.availability

import java.time.Duration

/** What a router has learned about the availability of endpoints. */
sealed interface AvailabilityEvent {
    /** A response matched to its request says that [incarnation] leaves. */
    data class LeavingAnnounced(val incarnation: Incarnation) : AvailabilityEvent

    /** A refusal matched to its request asks for no requests at [incarnation] for [duration], from now on. */
    data class PauseRequested(val incarnation: Incarnation, val duration: Duration) : AvailabilityEvent

    /** The entries of the store were looked at; [isRegistered] tells which incarnations have one. */
    class EntriesSeen(val isRegistered: (Incarnation) -> Boolean) : AvailabilityEvent
}

/** A change of an endpoint's availability. */
sealed interface AvailabilityChange {
    /** The endpoint that the change is about. */
    val incarnation: Incarnation

    /** The endpoint gets no new requests any more. */
    data class TakenOut(override val incarnation: Incarnation) : AvailabilityChange

    /** The endpoint gets no new requests for [time]. */
    data class Paused(override val incarnation: Incarnation, val time: Duration) : AvailabilityChange

    /** Nothing that the endpoint has announced is in force any more. */
    data class Cleared(override val incarnation: Incarnation, val reason: ClearReason) : AvailabilityChange
}

/** Why an announcement is no longer in force. */
enum class ClearReason {
    /** The pause is over, and the limit on requests after it has ended too. */
    PAUSE_OVER,

    /** The incarnation has no entry any more. */
    ENTRY_GONE,

    /** Too many announcements were known. */
    EVICTED,
}
