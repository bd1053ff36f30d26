package comfreypath.coordination.room

import java.time.Duration

/** Reports of a greater age tell nothing on the room of a service. */
private const val MAX_REPORT_AGE_SECONDS = 3L

/**
 * The room at the endpoints of a service that may take a request, as one router knows it.
 *
 * @property load the requests, running or queued, of all routers
 * @property slots the requests that run concurrently
 * @property freePlaces the number of requests by which [load] is below [slots]; negative if it is above
 * @property routers the number of routers that may send a request at this moment
 * @property shortestQueue the requests that must end at the least loaded endpoint before a new one starts, per slot
 * @property own the requests of this router
 * @property pace how long work takes now, relative to usual
 */
data class ServiceRoom(
    val load: Double,
    val slots: Int,
    val freePlaces: Double,
    val routers: Int,
    val shortestQueue: Double,
    val own: Int,
    val pace: Double = 1.0,
) {
    /** The requests per slot that do not run. */
    val queue: Double get() = if (slots == 0) 0.0 else load / slots - 1.0

    /**
     * Whether a place is free for a request with [jitter], from 0 to 1.
     *
     * All routers see the same places and can't ask each other in time. As long as there are fewer places than routers,
     * each takes one with the probability that leaves one for each of the others.
     */
    fun hasPlaceFor(jitter: Double): Boolean = freePlaces >= 1.0 && freePlaces >= jitter * routers

    /** Summarizes the room of endpoints. */
    companion object {
        private val maxReportAge: Duration = Duration.ofSeconds(MAX_REPORT_AGE_SECONDS)

        /**
         * The room at [endpoints].
         *
         * Without recent reports the other routers are taken to have as many requests as this one, so that each router
         * keeps to its share and their sum holds without any message.
         *
         * @param own the requests that this router has in progress at the service
         * @param peers the number of other routers
         * @param reportAge the mean age of their reports
         */
        fun of(endpoints: List<EndpointLoad>, own: Int, peers: Int, reportAge: Duration, pace: Double): ServiceRoom {
            val slots = endpoints.sumOf { it.slots }
            val known = endpoints.sumOf { it.load }
            val alone = peers > 0 && reportAge > maxReportAge
            val load = if (alone) maxOf(known, own * (peers + 1.0)) else known
            val shortest = endpoints.minOfOrNull { (it.load - it.slots + 1.0) / it.slots } ?: 0.0
            return ServiceRoom(
                load = load,
                slots = slots,
                freePlaces = slots - load,
                routers = if (alone) 1 else peers + 1,
                shortestQueue = maxOf(0.0, if (alone) load / slots - 1.0 else shortest),
                own = own,
                pace = pace,
            )
        }
    }
}

/**
 * The room at one endpoint.
 *
 * @property load the expected number of requests, running or queued, of all routers
 * @property slots the requests that it runs concurrently
 */
data class EndpointLoad(val load: Double, val slots: Int)
