package comfreypath.router.peers

import comfreypath.coordination.fleet.Duty
import comfreypath.coordination.fleet.FleetView
import comfreypath.coordination.fleet.Peer
import comfreypath.coordination.fleet.PeerAddress
import comfreypath.coordination.fleet.PeerContacts
import comfreypath.coordination.fleet.PeerProber
import comfreypath.coordination.fleet.ProbeMessage
import comfreypath.coordination.fleet.ProbedState
import comfreypath.coordination.fleet.StatusStamp
import comfreypath.coordination.model.InstanceName
import comfreypath.router.RouterContext
import java.time.Instant

/**
 * Probes the peers on whose duties this router relies, and responds to the probes of others.
 *
 * @param incarnation number that differs for each start of this process
 * @param ownState what to tell a peer that probes this router
 * @param send sends a message to a peer
 */
internal class PeerProbes(
    private val context: RouterContext,
    private val incarnation: Int,
    private val ownState: () -> ProbedState,
    private val send: (PeerAddress, ProbeMessage) -> Unit,
) {
    private val prober = PeerProber()
    private val duties = mutableListOf<(FleetView) -> List<Duty>>()
    private var suspects = emptySet<InstanceName>()

    /** When the peers were last heard. */
    var contacts = PeerContacts()
        private set

    /** Probes the peers that have the duties which [source] returns. */
    fun relyOn(source: (FleetView) -> List<Duty>) {
        duties += source
    }

    /** Sends the probes that are due. */
    fun tick(fleet: FleetView) {
        logSuspects(fleet.suspects)
        val step = prober.step(contacts, duties.flatMap { it(fleet) }, fleet.now)
        contacts = step.state
        val probe = ProbeMessage(context.options.name, StatusStamp(incarnation, fleet.now.toEpochMilli()))
        step.actions.forEach { send(it, probe) }
    }

    private fun logSuspects(current: Set<InstanceName>) {
        if (current == suspects) return
        (current - suspects).forEach { context.log.record("peer_suspected", "peer" to it) }
        (suspects - current).forEach { context.log.record("peer_trusted", "peer" to it) }
        suspects = current
    }

    /** Records that a message of [peer] has arrived. */
    fun heard(peer: InstanceName) {
        contacts = contacts.heard(peer, context.now())
    }

    /** Responds to a probe of [peer], or records its response. */
    fun receive(message: ProbeMessage, peer: Peer) {
        val state = message.state
        val sentAt = Instant.ofEpochMilli(message.stamp.milliseconds)
        when {
            state == null -> send(peer.address, message.copy(from = context.options.name, state = ownState()))
            message.stamp.incarnation == incarnation && sentAt <= context.now() ->
                contacts = contacts.responded(message.from, state, sentAt)
        }
    }

    /** Forgets all peers but [live]. */
    fun retain(live: Set<InstanceName>) {
        contacts = contacts.retain(live)
    }
}
