package comfreypath.coordination.availability

import java.time.Instant

/** Whether an endpoint may get new requests, by what it has announced in its responses. */
sealed interface Availability {
    /** True if a new request may be sent to the endpoint. */
    val allowsRequests: Boolean

    /** The endpoint has announced nothing that is still in force. */
    data object Open : Availability {
        override val allowsRequests: Boolean get() = true
    }

    /**
     * A pause has just ended.
     *
     * @property step the number of steps since then
     * @property loadPerSlot how many requests of all routers together the endpoint should have at most, per slot
     */
    data class Recovering(val step: Int, val loadPerSlot: Double) : Availability {
        override val allowsRequests: Boolean get() = true
    }

    /** The endpoint has asked for a pause that lasts until [until]. */
    data class Paused(val until: Instant) : Availability {
        override val allowsRequests: Boolean get() = false
    }

    /** The endpoint has announced that it leaves. */
    data object Leaving : Availability {
        override val allowsRequests: Boolean get() = false
    }
}
