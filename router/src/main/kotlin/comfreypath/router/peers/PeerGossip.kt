package comfreypath.router.peers

import comfreypath.coordination.Step
import comfreypath.coordination.evidence.PartReport
import comfreypath.coordination.facts.StoreVersion
import comfreypath.coordination.fleet.ConfigurationFreshness
import comfreypath.coordination.fleet.FleetSize
import comfreypath.coordination.fleet.FleetView
import comfreypath.coordination.fleet.GossipAction
import comfreypath.coordination.fleet.GossipEvent
import comfreypath.coordination.fleet.GossipOptions
import comfreypath.coordination.fleet.GossipProtocol
import comfreypath.coordination.fleet.GossipState
import comfreypath.coordination.fleet.InFlight
import comfreypath.coordination.fleet.KindDigest
import comfreypath.coordination.fleet.Peer
import comfreypath.coordination.fleet.PeerAddress
import comfreypath.coordination.fleet.PeerStatus
import comfreypath.coordination.fleet.ProbedState
import comfreypath.coordination.fleet.StatusStamp
import comfreypath.coordination.limits.KnownRouters
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.rollout.RolloutReports
import comfreypath.router.RouterContext
import comfreypath.router.launchLoop
import comfreypath.router.request.LivePeers
import comfreypath.router.sending.EndpointTracker
import comfreypath.router.store.StoreReachability
import comfreypath.router.view.ClusterView
import comfreypath.transport.Address
import kotlinx.collections.immutable.toImmutableList
import java.time.Duration
import java.time.Instant
import kotlin.random.Random

/** Shorter than the time in which a router that has started hears from its peers. */
private const val REFRESH_INTERVAL_MILLISECONDS = 500L

/** Exchanges status messages with the other routers, and tracks which of them are live. */
class PeerGossip(
    private val context: RouterContext,
    private val view: ClusterView,
    private val tracker: EndpointTracker,
    private val ready: () -> Boolean,
    private val options: GossipOptions,
) : LivePeers {
    private val protocol = GossipProtocol(options)
    private val messages = MessageAdmission(context)
    private val socket: PeerSocket = PeerSocket(
        context = context,
        onStatus = ::receive,
        onLoad = { message, bytes ->
            messages.ifKnown(message.from, state.peers[message.from]) { peer ->
                val slot = MessageSlot(message.from, MessageKind.of(message.scope))
                probes.heard(message.from)
                messages.admit(slot, message.heldBytes(bytes), peer) { loads.receive(message) }
            }
        },
        onProbe = { message ->
            messages.ifKnown(message.from, state.peers[message.from]) { probes.receive(message, it) }
        },
    )
    private val loads: PeerLoads = PeerLoads(context) { peer, message -> socket.send(peer, message) }
    private var state = GossipState(
        self = context.options.name,
        incarnation = Random.nextInt(),
        seeds = context.options.peers
            .filter { it != context.options.peerAddress }
            .map { PeerAddress(InstanceName(it.toString()), it.host, it.port, DataCentreName("")) }
            .toImmutableList(),
    )
    private val directLoads = DirectLoads()

    /** Probes the peers on which this router relies. */
    internal val probes = PeerProbes(
        context = context,
        incarnation = state.incarnation,
        ownState = { ProbedState(store.responseAge?.toMillis(), draining) },
        send = { peer, message -> socket.send(peer, message) },
    )
    private var liveNames: Set<InstanceName> = emptySet()
    private var refreshAt = Instant.MIN
    private var registeredNames: Set<InstanceName> = emptySet()
    private val startedAt = context.now()

    /** The live peers: those whose status messages arrive. */
    var live: List<Peer> = emptyList()
        private set

    /** The names of the peers that are registered or have sent a status message. */
    val knownNames: Set<InstanceName> get() = state.peers.keys

    /** True while this router knows of no other. */
    val alone: Boolean get() = state.peers.isEmpty() && state.seeds.isEmpty()

    /** What this router knows of the others now. */
    val fleet: FleetView
        get() = FleetView(
            self = context.options.name,
            dataCentre = context.options.dataCentre,
            peers = live,
            statusInterval = options.interval(state.peers.size),
            now = context.now(),
            contacts = probes.contacts,
        )

    /** The routers that share the request rates of endpoints. */
    val knownRouters: KnownRouters
        get() = KnownRouters(
            self = context.options.name,
            live = liveNames,
            registered = registeredNames,
            settled = context.now() >= startedAt + options.livenessTimeout(registeredNames.size),
        )

    /** Called for each digest received, with the kind's code, the digest and the peer that sent it. */
    var onDigest: (String, KindDigest, PeerAddress) -> Unit = { _, _, _ -> }

    /** Returns the reports of prompt parts to send with the next status message. */
    var partReports: () -> List<PartReport> = { emptyList() }

    /** Called with the reports of prompt parts in each recent message of a peer. */
    var onPartReports: (InstanceName, List<PartReport>) -> Unit = { _, _ -> }

    private val outages = StoreOutageReports(context) {
        FleetSize.of(context.options.dataCentre, state.peers.values)
    }

    /** Whether the store responds to this router. */
    val store: StoreReachability get() = outages.store

    /** True once this router has begun to stop. */
    var draining: Boolean = false

    /** The reports on open rollouts to send to peers; null if there are none. */
    var rolloutReports: () -> RolloutReports? = { null }

    /** The keys of the bad versions to tell peers. */
    var badVersions: () -> List<Int> = { emptyList() }

    /** Called with the keys of the bad versions of which a peer has told. */
    var onBadVersions: (List<Int>) -> Unit = {}

    /** Called for the reports on open rollouts that a peer has sent. */
    var onRolloutReports: (InstanceName, RolloutReports) -> Unit = { _, _ -> }

    /** Called when a peer has a newer configuration, with its version. */
    var onNewerConfiguration: (PeerAddress, Long) -> Unit = { _, _ -> }

    init {
        view.endpoints.storeOutageEndedAt = outages::lastOutageEndedAt
    }

    /** Starts receiving and sending status messages. */
    suspend fun start() {
        socket.start()
        view.routers.onChange {
            registeredNames = view.routers.values.keys.mapTo(HashSet()) { InstanceName(it) }
            step(
                GossipEvent.Registered(
                    view.routers.values.map { (name, record) ->
                        PeerAddress(InstanceName(name), record.host, record.port, record.dataCentre)
                    },
                ),
            )
        }
        probes.relyOn { if (options.relaysLoads(state.peers.size)) loads.duties(it) else emptyList() }
        context.launchLoop("gossip") {
            view.configuration.checkClocks()
            socket.readPending()
            if (outages.shouldAnnounce()) {
                announceUpdate(toAll = false)
            }
            if (context.now() >= state.dueAt) {
                step(GossipEvent.Tick(ownStatus))
            }
            if (context.now() >= refreshAt) {
                refreshLive()
            }
            if (options.relaysLoads(state.peers.size)) {
                loads.tick(fleet, tracker::inFlight, state.incarnation)
            }
            probes.tick(fleet)
            context.ticker.await()
        }
    }

    /** Schedules an early status message to all peers, or to a few, because this router has an update for them. */
    fun announceUpdate(toAll: Boolean) = step(GossipEvent.UpdateLearned(toAll))

    /** Asks [peer] for its status, which tells how fresh its configuration is. */
    fun requestStatus(peer: PeerAddress) = step(GossipEvent.StatusNeeded(peer, ownStatus))

    /** Stops receiving status messages. */
    fun stop() = socket.stop()

    override val names: Collection<InstanceName> get() = liveNames

    override fun inFlight(nameHash: Long): Int {
        val key = InFlight.key(nameHash)
        return loads.inFlight(key) ?: directLoads.inFlight(key)
    }

    override val loadsAge: Duration
        get() = loads.age ?: directLoads.age(context.now())

    private val ownStatus: PeerStatus
        get() = PeerStatus(
            from = context.options.name,
            dataCentre = context.options.dataCentre,
            stamp = StatusStamp(state.incarnation, context.now().toEpochMilli()),
            ready = ready(),
            draining = draining,
            storeResponseAgeMilliseconds = store.responseAge?.toMillis(),
            configuration = view.configuration.current?.let {
                ConfigurationFreshness(it.value.version, it.age(context.now()).toMillis() + 1)
            },
            digests = view.digests(),
            inFlight = tracker.inFlight(),
            rollouts = rolloutReports(),
            partReports = partReports(),
            storeFailingMilliseconds = store.failingFor.toMillis(),
            storeOutageEndedMilliseconds = outages.ownEndedAgo?.toMillis(),
            departures = view.endpoints.departuresToTell(),
            badVersions = badVersions(),
        )

    private fun receive(status: PeerStatus, sender: Address, bytes: Int) {
        val slot = MessageSlot(status.from, MessageKind.STATUS)
        val address = PeerAddress(status.from, sender.host, sender.port, status.dataCentre)
        messages.admit(slot, status.heldBytes(bytes), state.peers[status.from]) {
            val knowsSame = state.pendingUpdate != null && status.digests == view.digests() &&
                status.configuration?.version == view.configuration.current?.value?.version
            step(GossipEvent.StatusReceived(status, address, knowsSame))
            val isLatest = state.peers[status.from]?.status === status
            if (isLatest) probes.heard(status.from)
            if (isLatest && status.from in liveNames) directLoads.put(status.from, status.inFlight, context.now())
            status.rollouts?.takeIf { isLatest }?.let { onRolloutReports(status.from, it) }
            if (isLatest) outages.heard(status)
            if (isLatest && status.badVersions.isNotEmpty()) onBadVersions(status.badVersions)
            status.departures?.let { view.endpoints.hear(it, status.from) }
            if (status.from !in state.peers && status.from != state.self) messages.dropUnknown(status.from)
            isLatest
        }
    }

    private fun step(event: GossipEvent) {
        val next: Step<GossipState, GossipAction> = protocol.step(state, event, context.now())
        state = next.state
        next.actions.forEach(::perform)
    }

    private fun perform(action: GossipAction) {
        when (action) {
            is GossipAction.Send -> socket.send(action.to, action.status, action.echo)
            is GossipAction.Reply -> socket.send(action.to, ownStatus, action.echo)
            is GossipAction.ConfirmConfiguration -> confirm(action)
            is GossipAction.MergePartReports -> onPartReports(action.from, action.reports)
            is GossipAction.CompareDigest -> onDigest(action.kindCode, action.digest, action.peer)
        }
    }

    private fun confirm(action: GossipAction.ConfirmConfiguration) {
        val known = view.configuration.current?.value?.version
        val digests = state.peers[action.peerName]?.status?.digests.orEmpty()
        when {
            // The store that the peer is in touch with may lack the newest configuration.
            digests.isNotEmpty() && digests.values.maxOf { StoreVersion(it.revision).era } < view.era -> Unit
            known == action.version -> view.configuration.confirm(action.confirmedAt)
            known == null || known < action.version ->
                state.peers[action.peerName]?.let { onNewerConfiguration(it.address, action.version) }
        }
    }

    private fun refreshLive() {
        refreshAt = context.now().plusMillis(REFRESH_INTERVAL_MILLISECONDS)
        live = state.livePeers(options, context.now())
        val names = live.map { it.address.name }.toSet()
        messages.retain(state.peers.keys)
        loads.retain(state.peers.keys)
        (names - liveNames).forEach { context.log.record("peer_heard", "peer" to it) }
        (liveNames - names).forEach { context.log.record("peer_lost", "peer" to it) }
        if (names != liveNames) liveNames = names
        directLoads.retain(names)
        probes.retain(names)
        live.filter { it.address.name !in directLoads }.forEach { peer ->
            directLoads.put(peer.address.name, peer.status?.inFlight ?: InFlight(), peer.receivedAt ?: context.now())
        }
    }
}
