package comfreypath.coordination.fleet

import comfreypath.coordination.model.DataCentreName

/**
 * The size of a fleet.
 *
 * @property routers number of routers
 * @property dataCentres number of data centres that have routers
 */
data class FleetSize(val routers: Int, val dataCentres: Int) {
    companion object {
        /** The size of the fleet of a router in the data centre [own] and its [peers]. */
        fun of(own: DataCentreName, peers: Collection<Peer>): FleetSize = FleetSize(
            routers = peers.size + 1,
            dataCentres = peers.mapTo(hashSetOf(own)) { it.address.dataCentre }.size,
        )
    }
}
