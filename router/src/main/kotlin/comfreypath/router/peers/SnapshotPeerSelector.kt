package comfreypath.router.peers

import comfreypath.coordination.fleet.Peer
import comfreypath.router.store.ObjectKind
import comfreypath.router.store.ObjectKinds
import comfreypath.router.view.ClusterView
import comfreypath.transport.Address

/** Selects a peer to fetch a snapshot from while the store is unreachable. */
class SnapshotPeerSelector(private val view: ClusterView, private val live: () -> List<Peer>) {
    /**
     * A random peer that has newer objects of [kind] than this router, or any objects if this router has none; null if
     * there is no such peer.
     */
    fun select(kind: ObjectKind<*>): Address? = live().filter { peer ->
        if (kind == ObjectKinds.CONFIGURATION) hasNewerConfiguration(peer) else isAhead(peer, kind)
    }.randomOrNull()?.let { Address(it.address.host, it.address.port) }

    private fun isAhead(peer: Peer, kind: ObjectKind<*>): Boolean {
        val theirs = peer.status?.digests?.get(kind.code)
        val own = view.digests()[kind.code]
        return theirs != null && own?.isBehind(theirs) ?: true
    }

    private fun hasNewerConfiguration(peer: Peer): Boolean {
        val theirs = peer.status?.configuration?.version
        val own = view.configuration.current?.value?.version
        return theirs != null && (own == null || theirs > own)
    }
}
