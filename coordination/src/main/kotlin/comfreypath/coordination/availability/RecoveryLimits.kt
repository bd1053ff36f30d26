package comfreypath.coordination.availability

import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import comfreypath.coordination.routing.Endpoint

/**
 * The place of a router among the live ones, ordered by name.
 *
 * @property position the number of routers before it
 * @property routers the number of routers, with itself
 */
data class FleetPosition(val position: Int, val routers: Int) {
    companion object {
        /** The position of the router called [self] among its [peers]. */
        fun of(self: InstanceName, peers: Collection<InstanceName>): FleetPosition {
            val others = peers.filter { it != self }
            return FleetPosition(others.count { it < self }, others.size + 1)
        }
    }
}

/**
 * Limits the requests that a router has in flight at endpoints whose pause has just ended.
 *
 * Load pattern: endpoints that ask all routers for pauses while the service has more requests than it can answer. The
 * loads that peers report are older than the pause's end, so that every router prefers an endpoint that returns, and
 * their requests together fill its queue at once. What a router itself has in flight has no age. The limit of an
 * endpoint is therefore divided among the routers; where it is smaller than their number, some have a share in each
 * step, and others in the next one.
 */
class RecoveryLimits(private val options: AvailabilityOptions = AvailabilityOptions()) {
    /**
     * Those of [endpoints] at which this router may have another request.
     *
     * If there are none in their present step, those below the limit of the last step, and none if the router has used
     * up its shares of these too: requests beyond them would make the endpoints pause again.
     *
     * @param inFlight the number of this router's requests at an endpoint
     */
    fun withRoom(
        endpoints: List<Endpoint>,
        fleet: FleetPosition,
        availability: (Endpoint) -> Availability,
        inFlight: (Endpoint) -> Int,
    ): List<Endpoint> {
        fun below(endpoint: Endpoint, last: Boolean): Boolean {
            val recovery = availability(endpoint) as? Availability.Recovering
            val load = if (last) options.maxLoadPerSlot else recovery?.loadPerSlot
            return recovery == null || load == null || inFlight(endpoint) < share(endpoint, fleet, recovery.step, load)
        }
        return endpoints.filter { below(it, last = false) }.ifEmpty { endpoints.filter { below(it, last = true) } }
    }

    /** This router's share of the requests that [endpoint] should have at most. */
    private fun share(endpoint: Endpoint, fleet: FleetPosition, step: Int, loadPerSlot: Double): Int {
        val limit = (endpoint.slots * loadPerSlot).toInt().coerceAtLeast(1)
        val first = Math.floorMod(mix(hashOf(endpoint.name.text), step.toLong()), fleet.routers.toLong()).toInt()
        val rank = Math.floorMod(fleet.position - first, fleet.routers)
        return limit / fleet.routers + if (rank < limit % fleet.routers) 1 else 0
    }
}
