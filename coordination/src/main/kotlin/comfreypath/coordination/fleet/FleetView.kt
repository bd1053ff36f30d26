package comfreypath.coordination.fleet

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.placement.hashOf
import java.time.Duration
import java.time.Instant

/**
 * What one router knows of the others when it takes a decision.
 *
 * @property self this router
 * @property dataCentre the data centre of this router
 * @property peers the live peers
 * @property statusInterval time between two status messages of a peer
 * @property now the time of the decision
 * @property contacts when the peers were last heard
 */
data class FleetView(
    val self: InstanceName,
    val dataCentre: DataCentreName,
    val peers: Collection<Peer>,
    val statusInterval: Duration,
    val now: Instant,
    val contacts: PeerContacts = PeerContacts(),
) {
    /** Hash of this router's name. */
    val selfHash: Long = hashOf(self.text)

    /** Those of [peers] that have not responded to probes in time. */
    val suspects: Set<InstanceName> = contacts.suspects(now).let { suspects ->
        if (suspects.isEmpty()) suspects else peers.map { it.address.name }.filterTo(HashSet()) { it in suspects }
    }

    /** Number of data centres that have routers. */
    val dataCentreCount: Int get() = FleetSize.of(dataCentre, peers).dataCentres

    /** The same, without the peers in other data centres. */
    fun local(): FleetView = copy(peers = peers.filter { it.address.dataCentre == dataCentre })
}
