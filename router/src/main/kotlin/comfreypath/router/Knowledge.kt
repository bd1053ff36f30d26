package comfreypath.router

import comfreypath.router.peers.BetterInformedPeer
import comfreypath.router.peers.PeerCopies
import comfreypath.router.peers.PeerLink
import comfreypath.router.peers.Registration
import comfreypath.router.store.ObjectKind
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.ObjectStore
import comfreypath.router.view.ClusterView
import comfreypath.router.view.ConfigurationProbe
import comfreypath.router.view.ConfigurationSink
import comfreypath.router.view.FollowerSupport
import comfreypath.router.view.StoreFollower
import comfreypath.router.view.StoreSink
import comfreypath.transport.Address
import kotlinx.coroutines.launch
import java.time.Duration

private const val LONGEST_WATCH_SECONDS = 25L

/** Keeps what a router knows up to date: from the store, and from its peers while the store can't be reached. */
internal class Knowledge(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val view: ClusterView,
    private val peers: PeerLink,
) {
    private val configurationSink = ConfigurationSink(context, view.configuration)
    private val betterInformed = BetterInformedPeer(view) { peers.live }
    private val registration = Registration(context, store)
    private val copies = PeerCopies(
        context,
        store,
        mapOf(
            ObjectKinds.CONFIGURATION.label to view.configuration::copy,
            ObjectKinds.ENDPOINTS.label to view.endpoints.entries::copy,
            ObjectKinds.ROLLOUTS.label to view.rollouts::copy,
            ObjectKinds.EVACUATIONS.label to view.evacuations::copy,
            ObjectKinds.ROUTERS.label to view.routers::copy,
        ),
    )
    private val configurationFollower = follower(ObjectKinds.CONFIGURATION, configurationSink)
    private val endpointFollower = follower(ObjectKinds.ENDPOINTS, view.endpoints.entries)
    private val otherFollowers: Map<String, StoreFollower<*>> = mapOf(
        ObjectKinds.ROLLOUTS.code to follower(ObjectKinds.ROLLOUTS, view.rollouts),
        ObjectKinds.EVACUATIONS.code to follower(ObjectKinds.EVACUATIONS, view.evacuations),
        ObjectKinds.ROUTERS.code to follower(ObjectKinds.ROUTERS, view.routers),
    )
    private val followers = otherFollowers + (ObjectKinds.ENDPOINTS.code to endpointFollower)

    /** Proves that the configuration in force is the newest one. */
    val probe = ConfigurationProbe(context, store, view.configuration, configurationSink)

    /** Starts to learn what requests need. */
    fun startEssentials() {
        probe.start()
        endpointFollower.start()
    }

    /** Starts to learn the rest, and to tell and ask peers. */
    suspend fun startRest() {
        peers.onDigest = { code, digest -> followers[code]?.let { it.compare(view.digests()[code], digest) } }
        peers.onNewerConfiguration = { peer -> context.scope.launch { catchUp(Address(peer.host, peer.port)) } }
        peers.start()
        copies.start()
        configurationFollower.start()
        otherFollowers.values.forEach { it.start() }
        registration.start()
    }

    /** Reads the configuration that a peer has already, from the store or, failing that, from the peer. */
    private suspend fun catchUp(peer: Address) {
        if (!probe.probe()) {
            copies.fetch(peer, ObjectKinds.CONFIGURATION, configurationSink)
        }
    }

    /** Stops telling and answering peers. */
    suspend fun stop() {
        peers.stop()
        copies.stop()
    }

    private fun <T : Any> follower(kind: ObjectKind<T>, sink: StoreSink<T>) =
        StoreFollower(context, store, kind, sink, FollowerSupport(::watchTime, { askPeers(kind, sink) }, ::regained))

    private fun regained() {
        view.endpoints.storeRegainedAt = context.now()
    }

    /** Asks a peer that knows more about [kind] than this router, if there is one. */
    private suspend fun <T : Any> askPeers(kind: ObjectKind<T>, sink: StoreSink<T>) {
        betterInformed.find(kind)?.let { copies.fetch(it, kind, sink) }
    }

    /** The live routers together renew a watch of each kind at a steady rate, whatever their number. */
    private fun watchTime(): Duration =
        minOf(context.options.timeouts.watch.multipliedBy(peers.live.size + 1L), LONGEST_WATCH)

    private companion object {
        val LONGEST_WATCH: Duration = Duration.ofSeconds(LONGEST_WATCH_SECONDS)
    }
}
