package comfreypath.coordination.overload

import java.time.Duration

/**
 * The load of an endpoint relative to its capacity.
 *
 * @property load the number of requests, running or queued, that all routers are known to have at the endpoint
 * @property slots the number of requests that the endpoint processes concurrently
 */
data class Occupancy(val load: Int, val slots: Int) {
    /** True if a new request would start at once. */
    val hasFreeSlot: Boolean get() = load < slots

    /** How long a new request waits for a slot if every request holds one for [holdTime]. */
    fun expectedWait(holdTime: Duration): Duration =
        if (hasFreeSlot) Duration.ZERO else holdTime.multipliedBy((load - slots + 1).toLong()).dividedBy(slots.toLong())
}
