package comfreypath.router

import comfreypath.coordination.facts.StoreVersion
import comfreypath.coordination.fleet.ConfirmationPolicy
import comfreypath.coordination.fleet.Duty
import comfreypath.coordination.fleet.GossipOptions
import comfreypath.coordination.fleet.PeerAddress
import comfreypath.coordination.fleet.StoreFreshness
import comfreypath.coordination.fleet.StoreWatcherSelector
import comfreypath.coordination.fleet.WatchSchedule
import comfreypath.router.claims.RestoredClaims
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
import comfreypath.router.view.ConfirmationRenewal
import comfreypath.router.view.FirstRead
import comfreypath.router.view.FollowerHooks
import comfreypath.router.view.ProbeSchedule
import comfreypath.router.view.StoreFollower
import comfreypath.router.view.StoreSink
import comfreypath.transport.Address
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.time.Duration
import kotlin.random.Random

/** The time over which the fetches of a new configuration are spread, for each live peer. */
private const val FETCH_SPREAD_PER_PEER_MILLISECONDS = 4L

/** The time after the start in which a router hears from its peers, if they started at the same moment. */
private const val PEER_DISCOVERY_MILLISECONDS = 1_500L

/**
 * Keeps the [ClusterView] up to date: from the store, or from peers while this router does not watch the store or
 * cannot reach it.
 */
internal class ClusterViewUpdater(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val view: ClusterView,
    private val peers: PeerGossip,
    private val stalenessLimits: StalenessLimits,
    gossipOptions: GossipOptions,
) {
    private val probeSchedule = ProbeSchedule(gossipOptions.minInterval)
    private val configurationSink = ConfigurationSink(context, view.configuration)
    private val peerSelector = SnapshotPeerSelector(view) { peers.live }
    private val startedAt = context.now()
    private val registration = Registration(context, store, view.routers)
    private val watcherSelector = StoreWatcherSelector()
    private val confirmations = ConfirmationPolicy(watcherSelector)
    private var configurationFetch: Job? = null

    /** The versions of the peers that have told of a newer configuration since the last fetch. */
    private val configurationSources = LinkedHashMap<PeerAddress, Long>()
    private val snapshots = PeerSnapshots(
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

    /** Confirms that the configuration in force is current. */
    val probe = ConfigurationProbe(
        context = context,
        store = store,
        view = view.configuration,
        sink = configurationSink,
        reachability = peers.store,
        renewal = ConfirmationRenewal(
            ageRange = { probeSchedule.ageRange(stalenessLimits.keys) },
            next = { age, maxAge -> confirmations.next(peers.fleet, age, maxAge) },
            askPeer = peers::requestStatus,
        ),
    )

    private val claimsRestored = RestoredClaims { peers.knownNames }

    /** True once all other routers, live or registered, have written their claims again in [era], as they say. */
    fun claimsRestoredByOthers(era: Long): Boolean {
        val known = peers.knownRouters
        return claimsRestored.restoredBy(known.live + known.registered - known.self, era)
    }

    /** Starts the configuration probe and the endpoint follower, on which requests depend. */
    fun startEssentials() {
        peers.store.onSilence = ::suspectWatches
        probe.start()
        endpointFollower.start()
    }

    /** Starts the other followers, the exchange of updates with peers, and the registration. */
    suspend fun startRemaining() {
        peers.onDigest = { code, digest, peer ->
            val era = StoreVersion(digest.revision).era
            store.learnEra(era)
            view.configuration.learnEra(era)
            if (code == ObjectKinds.CLAIMS.code) claimsRestored.record(peer.name, era)
            followers[code]?.let { it.compare(view.digests()[code], digest, peer) }
        }
        peers.onNewerConfiguration = ::fetchNewerConfiguration
        peers.probes.relyOn { fleet ->
            val local = fleet.local()
            WATCHED.map { Duty(it.code, local, watcherSelector) } + confirmations.duties(fleet)
        }
        announceChanges()
        peers.start()
        snapshots.start()
        configurationFollower.start()
        otherFollowers.values.forEach { it.start() }
        context.launchLoop("release held objects") {
            context.ticker.await()
            view.evacuations.releaseHeld()
            view.rollouts.releaseHeld()
        }
        registration.start()
    }

    private fun announceChanges() {
        view.configuration.onChange { peers.announceUpdate(toAll = shouldWatch(ObjectKinds.CONFIGURATION)) }
        view.endpoints.entries.onChange { peers.announceUpdate(toAll = shouldWatch(ObjectKinds.ENDPOINTS)) }
        view.rollouts.onChange { peers.announceUpdate(toAll = shouldWatch(ObjectKinds.ROLLOUTS)) }
        view.evacuations.onChange { peers.announceUpdate(toAll = shouldWatch(ObjectKinds.EVACUATIONS)) }
    }

    /**
     * Fetches the newer configuration of [peer], or of another peer that has it; reads it from the store if that fails.
     *
     * In a large fleet, most routers hear of a configuration at the same moment from the few that have it. They wait
     * for a random time, in which others come to have it too, and choose one of them at random.
     */
    private fun fetchNewerConfiguration(peer: PeerAddress, version: Long) {
        configurationSources[peer] = version
        if (configurationFetch?.isActive != true) {
            configurationFetch = context.scope.launch {
                delay(Random.nextLong(FETCH_SPREAD_PER_PEER_MILLISECONDS * (peers.live.size + 1)))
                val latest = configurationSources.values.max()
                val source = configurationSources.filterValues { it == latest }.keys.random()
                snapshots.fetch(Address(source.host, source.port), ObjectKinds.CONFIGURATION, configurationSink)
                configurationSources.clear()
                if ((view.configuration.current?.value?.version ?: 0) < latest) {
                    probe.probe()
                }
            }
        }
    }

    /** Stops exchanging updates with peers. */
    suspend fun stop() {
        peers.stop()
        snapshots.stop()
    }

    private fun <T : Any> follower(kind: ObjectKind<T>, sink: StoreSink<T>): StoreFollower<T> {
        val freshness = when (kind) {
            ObjectKinds.ENDPOINTS -> StoreFreshness.ENDPOINTS
            ObjectKinds.ROUTERS -> StoreFreshness.ROUTERS
            else -> StoreFreshness.ORDERS
        }
        val schedule = WatchSchedule(freshness.renewal(context.options.timeouts.watch), kind.code)
        return StoreFollower(
            context,
            store,
            kind,
            sink,
            FollowerHooks(
                shouldWatch = { shouldWatch(kind) },
                maxWait = { changed -> if (changed) schedule.first(peers.fleet) else schedule.next(peers.fleet) },
                fetchFromPeer = { peer -> fetchFromPeer(peer, kind, sink) },
                reachability = peers.store,
                startsFrom = if (kind == ObjectKinds.CONFIGURATION) FirstRead.WATCH else FirstRead.STALE_LIST,
                peersHeard = { peers.alone || context.now() >= startedAt + PEER_DISCOVERY },
            ),
        )
    }

    /** Connections to the store go silent together: after one of them, the others are not relied on either. */
    private fun suspectWatches() = (followers.values + configurationFollower).forEach { it.watching.suspect() }

    private fun shouldWatch(kind: ObjectKind<*>): Boolean = watcherSelector.shouldWatch(kind.code, peers.fleet)

    /** Fetches a snapshot of [kind] from [peer] or, if it is null, from a peer that is ahead of this router, if any. */
    private suspend fun <T : Any> fetchFromPeer(peer: PeerAddress?, kind: ObjectKind<T>, sink: StoreSink<T>) {
        val address = peer?.let { Address(it.host, it.port) } ?: peerSelector.select(kind)
        address?.let { snapshots.fetch(it, kind, sink) }
    }

    private companion object {
        /** The kinds whose changes bind requests. */
        val WATCHED = listOf(
            ObjectKinds.ENDPOINTS,
            ObjectKinds.CONFIGURATION,
            ObjectKinds.ROLLOUTS,
            ObjectKinds.EVACUATIONS,
        )
        val PEER_DISCOVERY: Duration = Duration.ofMillis(PEER_DISCOVERY_MILLISECONDS)
    }
}
