package comfreypath.coordination.overload

import java.time.Duration

/**
 * How full an endpoint is.
 *
 * @property load the requests that all routers are known to have there, running or waiting
 * @property slots the requests that it works on at once
 */
data class Occupancy(val load: Int, val slots: Int) {
    /** True while a request would start at once. */
    val hasFreeSlot: Boolean get() = load < slots

    /** How long the next request waits for a slot when each request holds one for [holdTime]. */
    fun expectedWait(holdTime: Duration): Duration =
        if (hasFreeSlot) Duration.ZERO else holdTime.multipliedBy((load - slots + 1).toLong()).dividedBy(slots.toLong())
}
