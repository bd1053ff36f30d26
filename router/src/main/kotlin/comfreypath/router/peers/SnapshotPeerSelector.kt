package comfreypath.router.peers

import comfreypath.coordination.fleet.Peer
import comfreypath.router.store.ObjectKind
import comfreypath.router.store.ObjectKinds
import comfreypath.router.view.ClusterView
import comfreypath.transport.Address

/** Finds a peer to ask while the store can't be reached. */
class SnapshotPeerSelector(private val view: ClusterView, private val live: () -> List<Peer>) {
    /** A peer that knows newer objects of [kind] than this router, or any that knows some while this one knows none. */
    fun select(kind: ObjectKind<*>): Address? = live().filter { peer ->
        if (kind == ObjectKinds.CONFIGURATION) knowsNewerConfiguration(peer) else knowsMore(peer, kind)
    }.randomOrNull()?.let { Address(it.address.host, it.address.port) }

    private fun knowsMore(peer: Peer, kind: ObjectKind<*>): Boolean {
        val known = peer.status?.digests?.get(kind.code)
        val own = view.digests()[kind.code]
        return known != null && (own == null || known.revision > own.revision && known.hash != own.hash)
    }

    private fun knowsNewerConfiguration(peer: Peer): Boolean {
        val known = peer.status?.configuration?.version
        val own = view.configuration.current?.value?.version
        return known != null && (own == null || known > own)
    }
}
