package comfreypath.router

import comfreypath.coordination.fleet.GossipOptions
import comfreypath.coordination.fleet.PeerAddress
import comfreypath.coordination.fleet.StoreWatcherSelector
import comfreypath.router.peers.PeerGossip
import comfreypath.router.peers.PeerSnapshots
import comfreypath.router.peers.Registration
import comfreypath.router.peers.SnapshotPeerSelector
import comfreypath.router.request.StalenessLimits
import comfreypath.router.store.ObjectKind
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.ObjectStore
import comfreypath.router.view.ClusterView
import comfreypath.router.view.ConfigurationProbe
import comfreypath.router.view.ConfigurationSink
import comfreypath.router.view.FollowerHooks
import comfreypath.router.view.ProbeSchedule
import comfreypath.router.view.StoreFollower
import comfreypath.router.view.StoreSink
import comfreypath.transport.Address
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.time.Duration

private const val LONGEST_WATCH_SECONDS = 25L

/** Keeps what a router knows up to date: from the store, and from its peers while the store can't be reached. */
internal class Knowledge(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val view: ClusterView,
    private val peers: PeerGossip,
    private val ages: StalenessLimits,
    gossipOptions: GossipOptions,
) {
    private val proofs = ProbeSchedule(gossipOptions.minInterval)
    private val configurationSink = ConfigurationSink(context, view.configuration)
    private val betterInformed = SnapshotPeerSelector(view) { peers.live }
    private val registration = Registration(context, store)
    private val relays = StoreWatcherSelector()
    private var catchingUp: Job? = null
    private val copies = PeerSnapshots(
        context,
        store,
        mapOf(
            ObjectKinds.CONFIGURATION.label to { view.configuration.snapshot() },
            ObjectKinds.ENDPOINTS.label to view.endpoints.entries::snapshot,
            ObjectKinds.ROLLOUTS.label to view.rollouts::snapshot,
            ObjectKinds.EVACUATIONS.label to view.evacuations::snapshot,
            ObjectKinds.ROUTERS.label to view.routers::snapshot,
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
    val probe = ConfigurationProbe(
        context = context,
        store = store,
        view = view.configuration,
        sink = configurationSink,
        ageRange = { proofs.ageRange(ages.keys) },
        onResponse = { storeAnswered(afterOutage = false) },
    )

    /** Starts to learn what requests need. */
    fun startEssentials() {
        probe.start()
        endpointFollower.start()
    }

    /** Starts to learn the rest, and to tell and ask peers. */
    suspend fun startRest() {
        peers.onDigest = { code, digest, peer ->
            followers[code]?.let { it.compare(view.digests()[code], digest, peer) }
        }
        peers.onNewerConfiguration = ::catchUp
        tellNews()
        peers.start()
        copies.start()
        configurationFollower.start()
        otherFollowers.values.forEach { it.start() }
        registration.start()
    }

    private fun tellNews() {
        view.configuration.onChange { peers.announceUpdate(toAll = watches(ObjectKinds.CONFIGURATION)) }
        view.endpoints.entries.onChange { peers.announceUpdate(toAll = watches(ObjectKinds.ENDPOINTS)) }
        view.rollouts.onChange { peers.announceUpdate(toAll = watches(ObjectKinds.ROLLOUTS)) }
        view.evacuations.onChange { peers.announceUpdate(toAll = watches(ObjectKinds.EVACUATIONS)) }
    }

    /** Takes the newer configuration that a peer has, from the peer or, failing that, from the store. */
    private fun catchUp(peer: PeerAddress) {
        if (catchingUp?.isActive != true) {
            catchingUp = context.scope.launch {
                val address = Address(peer.host, peer.port)
                if (!copies.fetch(address, ObjectKinds.CONFIGURATION, configurationSink)) {
                    probe.probe()
                }
            }
        }
    }

    /** Stops telling and answering peers. */
    suspend fun stop() {
        peers.stop()
        copies.stop()
    }

    private fun <T : Any> follower(kind: ObjectKind<T>, sink: StoreSink<T>) =
        StoreFollower(
            context,
            store,
            kind,
            sink,
            FollowerHooks(
                shouldWatch = { watches(kind) },
                maxWait = { if (kind == ObjectKinds.ROUTERS) LONGEST_WATCH else watchTime() },
                fetchFromPeer = { peer -> askPeer(peer, kind, sink) },
                onResponse = ::storeAnswered,
            ),
        )

    private fun watches(kind: ObjectKind<*>): Boolean = relays.shouldWatch(
        kind = kind.code,
        self = context.options.name,
        dataCentre = context.options.dataCentre,
        peers = peers.live,
        now = context.now(),
    )

    private fun storeAnswered(afterOutage: Boolean) {
        peers.lastStoreResponseAt = context.now()
        if (afterOutage) {
            view.endpoints.storeRecoveredAt = context.now()
        }
    }

    /** Asks [peer], or a peer that knows more about [kind] than this router if there is one. */
    private suspend fun <T : Any> askPeer(peer: PeerAddress?, kind: ObjectKind<T>, sink: StoreSink<T>) {
        val address = peer?.let { Address(it.host, it.port) } ?: betterInformed.select(kind)
        address?.let { copies.fetch(it, kind, sink) }
    }

    /** The relays together renew a watch of each kind at a steady rate, whatever their number. */
    private fun watchTime(): Duration {
        val dataCentres = peers.live.map { it.address.dataCentre }.plus(context.options.dataCentre).distinct().size
        return minOf(context.options.timeouts.watch.multipliedBy(dataCentres.toLong()), LONGEST_WATCH)
    }

    private companion object {
        val LONGEST_WATCH: Duration = Duration.ofSeconds(LONGEST_WATCH_SECONDS)
    }
}
