package comfreypath.router.peers

import com.github.michaelbull.result.fold
import comfreypath.coordination.Step
import comfreypath.coordination.evidence.PartReport
import comfreypath.coordination.fleet.ConfigurationFreshness
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
import comfreypath.coordination.fleet.StatusStamp
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.rollout.RolloutReports
import comfreypath.router.RouterContext
import comfreypath.router.launchLoop
import comfreypath.router.request.LivePeers
import comfreypath.router.sending.EndpointTracker
import comfreypath.router.view.ClusterView
import comfreypath.transport.Address
import comfreypath.transport.DatagramSocket
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import java.time.Duration
import java.time.Instant
import kotlin.random.Random

/** Exchanges status messages with the other routers, and tracks which of them are live. */
class PeerGossip(
    private val context: RouterContext,
    private val view: ClusterView,
    private val tracker: EndpointTracker,
    private val ready: () -> Boolean,
    private val options: GossipOptions,
) : LivePeers {
    private val protocol = GossipProtocol(options)
    private val socket = DatagramSocket(context.loop, ::receive)
    private val encoder = PeerStatusEncoder()
    private var state = GossipState(
        self = context.options.name,
        incarnation = Random.nextInt(),
        seeds = context.options.peers
            .filter { it != context.options.peerAddress }
            .map { PeerAddress(InstanceName(it.toString()), it.host, it.port, DataCentreName("")) }
            .toImmutableList(),
    )
    private var inFlightAtPeers: Map<Int, Int> = emptyMap()
    private var liveNames: Set<InstanceName> = emptySet()

    /** The live peers: those whose status messages arrive. */
    var live: List<Peer> = emptyList()
        private set

    /** The time between two status messages of a peer. */
    val statusInterval: Duration get() = options.interval(state.peers.size)

    /** Called for each digest received, with the kind's code, the digest and the peer that sent it. */
    var onDigest: (String, KindDigest, PeerAddress) -> Unit = { _, _, _ -> }

    /** Returns the reports of prompt parts to send with the next status message. */
    var partReports: () -> List<PartReport> = { emptyList() }

    /** Called with the reports of prompt parts in each recent message of a peer. */
    var onPartReports: (InstanceName, List<PartReport>) -> Unit = { _, _ -> }

    /** When the store last responded to this router; null before the first response. */
    var lastStoreResponseAt: Instant? = null

    /** When a call of this router to the store last failed; null before the first failure. */
    var lastStoreFailureAt: Instant? = null

    /** True once this router has begun to stop. */
    var draining: Boolean = false

    /** The reports on open rollouts to send to peers; null if there are none. */
    var rolloutReports: () -> RolloutReports? = { null }

    /** Called for the reports on open rollouts that a peer has sent. */
    var onRolloutReports: (InstanceName, RolloutReports) -> Unit = { _, _ -> }

    /** Called when a peer has a newer configuration. */
    var onNewerConfiguration: (PeerAddress) -> Unit = {}

    /** Starts receiving and sending status messages. */
    suspend fun start() {
        socket.start(context.options.peerAddress)
        view.routers.onChange {
            step(
                GossipEvent.Registered(
                    view.routers.values.map { (name, record) ->
                        PeerAddress(InstanceName(name), record.host, record.port, record.dataCentre)
                    },
                ),
            )
        }
        context.launchLoop("gossip") {
            view.configuration.checkClocks()
            socket.readPending()
            if (context.now() >= state.dueAt) {
                step(GossipEvent.Tick(status()))
                refreshLive()
            }
            context.ticker.await()
        }
    }

    /** Schedules an early status message to all peers, or to a few, because this router has an update for them. */
    fun announceUpdate(toAll: Boolean) = step(GossipEvent.UpdateLearned(toAll))

    /** Asks [peer] for its status, which tells how fresh its configuration is. */
    fun requestStatus(peer: PeerAddress) = step(GossipEvent.StatusNeeded(peer, status()))

    /** Stops receiving status messages. */
    fun stop() = socket.stop()

    override val names: Collection<InstanceName> get() = liveNames

    override fun inFlight(nameHash: Long): Int = inFlightAtPeers[InFlight.key(nameHash)] ?: 0

    private fun status(): PeerStatus {
        val now = context.now()
        return PeerStatus(
            from = context.options.name,
            dataCentre = context.options.dataCentre,
            stamp = StatusStamp(state.incarnation, now.toEpochMilli()),
            ready = ready(),
            draining = draining,
            storeResponseAgeMilliseconds = storeResponseAge(now)?.toMillis(),
            configuration = view.configuration.current?.let {
                ConfigurationFreshness(it.value.version, it.age(now).toMillis() + 1)
            },
            digests = view.digests(),
            inFlight = tracker.inFlight(),
            rollouts = rolloutReports(),
            partReports = partReports(),
        )
    }

    /** Most routers of a large fleet do not call the store; one that has not failed since counts as connected to it. */
    private fun storeResponseAge(now: Instant): Duration? = lastStoreResponseAt?.let { respondedAt ->
        val failed = lastStoreFailureAt?.let { it > respondedAt } ?: false
        if (failed) Duration.between(respondedAt, now) else Duration.ZERO
    }

    private fun receive(bytes: ByteArray, sender: Address) {
        context.metrics.controlBytes.labelValues("received").inc(bytes.size.toDouble())
        context.scope.launch(CoroutineName("receive peer status"), CoroutineStart.UNDISPATCHED) {
            decodePeerStatus(bytes).fold(
                success = { status ->
                    val address = PeerAddress(status.from, sender.host, sender.port, status.dataCentre)
                    step(GossipEvent.StatusReceived(status, address, state.pendingUpdate != null && knowsSame(status)))
                    val isLatest = state.peers[status.from]?.status === status
                    status.rollouts?.takeIf { isLatest }?.let { onRolloutReports(status.from, it) }
                },
                failure = { reason ->
                    context.log.record("peer_status_unreadable", "sender" to sender, "reason" to reason)
                },
            )
        }
    }

    /** True if [status] was sent by a router with the same objects as this one. */
    private fun knowsSame(status: PeerStatus): Boolean =
        status.configuration?.version == view.configuration.current?.value?.version && status.digests == view.digests()

    private fun step(event: GossipEvent) {
        val next: Step<GossipState, GossipAction> = protocol.step(state, event, context.now())
        state = next.state
        next.actions.forEach(::perform)
    }

    private fun perform(action: GossipAction) {
        when (action) {
            is GossipAction.Send -> send(action.to, action.status, action.echo)
            is GossipAction.Reply -> send(action.to, status(), action.echo)
            is GossipAction.ConfirmConfiguration -> confirm(action)
            is GossipAction.MergePartReports -> onPartReports(action.from, action.reports)
            is GossipAction.CompareDigest -> onDigest(action.kindCode, action.digest, action.peer)
        }
    }

    private fun send(to: PeerAddress, status: PeerStatus, echo: StatusStamp?) {
        val bytes = encoder.encode(status, echo)
        context.metrics.controlBytes.labelValues("sent").inc(bytes.size.toDouble())
        socket.send(Address(to.host, to.port), bytes)
    }

    private fun confirm(action: GossipAction.ConfirmConfiguration) {
        val known = view.configuration.current?.value?.version
        when {
            known == action.version -> view.configuration.confirm(action.confirmedAt)
            known == null || known < action.version ->
                state.peers[action.peerName]?.let { onNewerConfiguration(it.address) }
        }
    }

    private fun refreshLive() {
        live = state.livePeers(options, context.now())
        val names = live.map { it.address.name }.toSet()
        (names - liveNames).forEach { context.log.record("peer_heard", "peer" to it) }
        (liveNames - names).forEach { context.log.record("peer_lost", "peer" to it) }
        liveNames = names
        val sums = HashMap<Int, Int>()
        live.forEach { peer ->
            peer.status?.inFlight?.counts?.forEach { (key, count) -> sums.merge(key, count, Int::plus) }
        }
        inFlightAtPeers = sums
    }
}
