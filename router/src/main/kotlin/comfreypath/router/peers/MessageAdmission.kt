package comfreypath.router.peers

import comfreypath.coordination.fleet.Peer
import comfreypath.coordination.model.InstanceName
import comfreypath.router.RouterContext

/** Decides which messages of peers are kept, and counts and logs those that are dropped. */
internal class MessageAdmission(private val context: RouterContext) {
    private val memory = PeerMemory(context.options.peerMemoryBytes)

    /**
     * Calls [accept] if there is room for a message of [bytes] bytes. If that returns true, the message is kept in [slot]
     * instead of the one before. [peer] is null if its sender is not known yet.
     */
    fun admit(slot: MessageSlot, bytes: Int, peer: Peer?, accept: () -> Boolean) {
        val registered = peer?.registered ?: false
        if (!memory.admits(slot, bytes, registered)) {
            drop(slot.peer, "out_of_memory")
        } else if (accept()) {
            memory.hold(slot, bytes, registered)
        }
    }

    /** Calls [receive] for a message of [sender] if it is known as [peer]; drops the message otherwise. */
    fun ifKnown(sender: InstanceName, peer: Peer?, receive: (Peer) -> Unit) {
        if (peer == null) dropUnknown(sender) else receive(peer)
    }

    /** Records that a message of [peer], which is not known, was dropped. */
    fun dropUnknown(peer: InstanceName) = drop(peer, "unknown")

    private fun drop(peer: InstanceName, reason: String) {
        context.metrics.peerMessagesDropped.labelValues(reason).inc()
        context.throttledLog.record("peer_message_dropped", reason, "peer" to peer, "reason" to reason)
    }

    /** Gives back what the messages of all peers but [known] hold. */
    fun retain(known: Set<InstanceName>) = memory.retain(known)
}
