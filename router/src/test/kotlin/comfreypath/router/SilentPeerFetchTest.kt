package comfreypath.router

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import comfreypath.coordination.fleet.FleetView
import comfreypath.coordination.fleet.GossipOptions
import comfreypath.coordination.fleet.Peer
import comfreypath.coordination.fleet.PeerAddress
import comfreypath.coordination.fleet.PeerStatus
import comfreypath.coordination.fleet.ProbedState
import comfreypath.coordination.fleet.StatusStamp
import comfreypath.coordination.fleet.StoreWatcherSelector
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.peers.KindSnapshot
import comfreypath.router.peers.PeerGossip
import comfreypath.router.peers.PeerSnapshots
import comfreypath.router.peers.PeerStatusEncoder
import comfreypath.router.peers.decodeProbe
import comfreypath.router.peers.encode
import comfreypath.router.request.StalenessLimits
import comfreypath.router.sending.EndpointTracker
import comfreypath.router.store.ObjectChange
import comfreypath.router.store.ObjectKind
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.ObjectPage
import comfreypath.router.store.ObjectStore
import comfreypath.router.store.ScriptedStore
import comfreypath.router.store.StoreError
import comfreypath.router.store.StoredObject
import comfreypath.router.view.ClusterView
import comfreypath.router.view.KindView
import comfreypath.transport.Address
import comfreypath.transport.dispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.ServerSocket
import java.net.SocketException
import java.time.Duration
import java.time.Instant
import kotlin.concurrent.thread

/**
 * Guards against a router that hears that an endpoint leaves, but whose fetch of the change from one peer fails, and
 * that keeps sending to the endpoint until some later status message.
 *
 * The peers of a large fleet send their regular status messages every 7.3 s, so none comes within a test.
 */
class SilentPeerFetchTest {
    private val context = TestContext.create(MonotonicClock(), peerAddress = unusedAddress())
    private val loopback = InetAddress.getLoopbackAddress()
    private val contexts = mutableListOf(context)
    private val peers = mutableListOf<TestPeer>()
    private val view = ClusterView(context)
    private lateinit var gossip: PeerGossip
    private val options = GossipOptions(minInterval = Duration.ofMillis(LARGE_FLEET_INTERVAL_MILLISECONDS))

    /** Lists a ready endpoint, some seconds old, and returns no changes. */
    private val store = object : ObjectStore by ScriptedStore() {
        @Suppress("UNCHECKED_CAST")
        override suspend fun <T : Any> list(
            kind: ObjectKind<T>,
            after: String?,
            allowStale: Boolean,
        ): Result<ObjectPage<T>, StoreError> {
            val objects = if (kind == ObjectKinds.ENDPOINTS) baseline else emptyList()
            listed += kind
            return Ok(ObjectPage(objects as List<StoredObject<T>>, revision = 1, next = null))
        }

        @Suppress("UNCHECKED_CAST")
        override fun <T : Any> decode(kind: ObjectKind<T>, document: String, era: Long): StoredObject<T>? =
            stored(document.substringBefore('@'), document.substringAfter('@').toLong()) as StoredObject<T>
    }

    /** The kinds of objects that the router under test has listed. */
    private val listed = HashSet<ObjectKind<*>>()

    /** The objects in the list with which the router under test starts. */
    private var baseline = listOf(stored(ENDPOINT, revision = 1))

    /**
     * A peer that sends status messages and responds to probes. It serves [endpoints] by TCP, or accepts connections
     * and stays silent.
     */
    private inner class TestPeer(val name: String, private val silent: Boolean) {
        val address = unusedAddress()
        private val socket = DatagramSocket(address.port, loopback)
        private val listener = if (silent) ServerSocket(address.port, BACKLOG, loopback) else null
        private val peerContext = context.withOptions { copy(peerAddress = address) }
        private var messages = 0L
        val endpoints = KindView<Endpoint>(context, "endpoint").apply { replace(listOf(stored(ENDPOINT, 1)), 1, NOW) }
        var source: (Long?) -> KindSnapshot? = endpoints::snapshot
        private val snapshots =
            PeerSnapshots(peerContext, store, mapOf(ObjectKinds.ENDPOINTS.label to { since -> source(since) }))

        suspend fun start() {
            if (!silent) snapshots.start()
            thread(isDaemon = true, name = name) { respondToProbes() }
        }

        private fun respondToProbes() {
            val packet = DatagramPacket(ByteArray(MAX_DATAGRAM_BYTES), MAX_DATAGRAM_BYTES)
            while (!socket.isClosed) {
                try {
                    socket.receive(packet)
                } catch (_: SocketException) {
                    return // the peer is gone
                }
                val text = packet.data.decodeToString(endIndex = packet.length)
                val probe = decodeProbe(text.removePrefix("P")).takeIf { text.startsWith("P") }?.get() ?: continue
                val response = probe.copy(from = InstanceName(name), state = ProbedState(0))
                socket.send(encode(response).let { DatagramPacket(it, it.size, packet.socketAddress) })
            }
        }

        fun sendStatus() {
            messages += 1
            val status = PeerStatus(
                from = InstanceName(name),
                dataCentre = context.options.dataCentre,
                stamp = StatusStamp(incarnation = 1, milliseconds = messages),
                storeResponseAgeMilliseconds = 0,
                digests = mapOf(ObjectKinds.ENDPOINTS.code to checkNotNull(endpoints.digest)),
            )
            val bytes = PeerStatusEncoder().encode(status, echo = null)
            socket.send(DatagramPacket(bytes, bytes.size, loopback, context.options.peerAddress.port))
        }

        suspend fun stop() {
            socket.close()
            listener?.close()
            if (!silent) snapshots.stop()
        }
    }

    private fun RouterContext.withOptions(change: RouterOptions.() -> RouterOptions) =
        copy(settings = CurrentOptions(options.change())).also { contexts += it }

    private fun unusedAddress() =
        Address("127.0.0.1", ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort })

    private fun stored(name: String, revision: Long): StoredObject<Endpoint> = StoredObject(
        name = name,
        revision = revision,
        value = Ok(endpoint(name, draining = revision >= DRAINING_REVISION)),
        document = "$name@$revision",
    )

    private fun endpoint(name: String, draining: Boolean) = Endpoint(
        name = EndpointName(name),
        service = SERVICE,
        host = "127.0.0.1",
        port = 1,
        dataCentre = DataCentreName("south"),
        version = VersionName("1"),
        slots = 1,
        draining = draining,
        coldMilliseconds = 0,
        startedAt = null,
    )

    /** Names whose routers watch the store, so that the router under test doesn't. */
    private fun watcherNames(): Sequence<String> = generateSequence(1) { it + 1 }.map { "peer-$it" }.filter { name ->
        val address = PeerAddress(InstanceName(name), "127.0.0.1", 1, context.options.dataCentre)
        val status = PeerStatus(
            from = address.name,
            dataCentre = address.dataCentre,
            stamp = StatusStamp(incarnation = 1, milliseconds = 1),
            storeResponseAgeMilliseconds = 0,
        )
        val peer = Peer(address, receivedAt = NOW, status = status)
        val fleet = FleetView(context.options.name, address.dataCentre, listOf(peer), options.interval(1), NOW)
        RELIED_ON.none { StoreWatcherSelector().shouldWatch(it.code, fleet) }
    }

    /** Starts [silent] peers that don't respond to fetches, one that does, and the router under test. */
    private fun withPeers(silent: Int, test: suspend (silent: List<TestPeer>, sound: TestPeer) -> Unit) =
        runBlocking(context.loop.dispatcher()) {
            withTimeout(TIMEOUT_MILLISECONDS) {
                val names = watcherNames().take(silent + 1).toList()
                peers += names.mapIndexed { index, name -> TestPeer(name, silent = index < silent) }
                peers.forEach { it.start() }
                startRouter()
                while (gossip.live.size < peers.size || view.endpoints.entries.values.isEmpty()) {
                    peers.forEach { it.sendStatus() }
                    delay(POLL_MILLISECONDS)
                }
                test(peers.dropLast(1), peers.last())
            }
        }

    /** Starts the router under test, which has the peers as its seeds, so that it waits for their messages. */
    private suspend fun startRouter() {
        val started = context.withOptions { copy(peers = this@SilentPeerFetchTest.peers.map { it.address }) }
        gossip = PeerGossip(started, view, EndpointTracker(started), { true }, options)
        val limits = StalenessLimits { started.options.bounds }
        val updater = ClusterViewUpdater(started, store, view, gossip, limits, options)
        updater.startEssentials()
        updater.startRemaining()
    }

    /** Returns true once the router knows that the endpoint drains; false if it doesn't within the bound. */
    private suspend fun learnsOfLeave(): Boolean = withTimeoutOrNull(LEARNT_WITHIN_MILLISECONDS) {
        while (view.endpoints.entries.values[ENDPOINT]?.draining != true) delay(POLL_MILLISECONDS)
        true
    } ?: false

    private fun leave(peer: TestPeer) = peer.endpoints.apply(
        listOf(ObjectChange(stored(ENDPOINT, DRAINING_REVISION), removed = false)),
        DRAINING_REVISION,
        NOW,
    )

    /** All peers tell of the leave, the silent ones first. */
    private suspend fun learnsAfterSilentPeers(silent: List<TestPeer>, sound: TestPeer): Boolean {
        (silent + sound).forEach {
            leave(it)
            it.sendStatus()
            delay(POLL_MILLISECONDS)
        }
        return learnsOfLeave()
    }

    @AfterEach
    fun stop() {
        runBlocking(context.loop.dispatcher()) { peers.forEach { it.stop() } }
        contexts.forEach { it.scope.cancel() }
        context.loop.parent().shutdownGracefully()
    }

    @Test
    fun `a router that hears of a leave fetches it from the peer that tells`() = withPeers(silent = 0) { _, sound ->
        leave(sound)
        sound.sendStatus()
        expectThat(learnsOfLeave()).isTrue()
    }

    @Test
    fun `a router whose fetch from a silent peer fails learns of a leave in time`() =
        withPeers(silent = 1) { silent, sound -> expectThat(learnsAfterSilentPeers(silent, sound)).isTrue() }

    @Test
    fun `a router whose fetches from two silent peers fail learns of a leave in time`() =
        withPeers(silent = 2) { silent, sound -> expectThat(learnsAfterSilentPeers(silent, sound)).isTrue() }

    /** The delta brought it to the peer's revision, so that it took itself for current. */
    @Test
    fun `a router that missed a leave, and whose fetch of all endpoints fails, does not take itself for current`() {
        withPeers(silent = 0) { _, sound ->
            leave(sound)
            view.endpoints.entries.apply(emptyList(), DRAINING_REVISION, NOW)
            val later = ObjectChange(stored("other", LATER_REVISION), removed = false)
            sound.endpoints.apply(listOf(later), LATER_REVISION, NOW)
            var asked = false
            sound.source = { since ->
                asked = asked || since == null
                since?.let(sound.endpoints::snapshot)
            }
            sound.sendStatus()
            while (!asked) delay(POLL_MILLISECONDS)
            delay(FETCH_MILLISECONDS)
            sound.source = sound.endpoints::snapshot
            sound.sendStatus()
            expectThat(learnsOfLeave()).isTrue()
        }
    }

    private val usable get() = view.endpoints.forService(SERVICE).isNotEmpty()

    /** The grace period began when the router learnt of the removal, however long it had been behind. */
    @Test
    fun `a router that was behind after its store calls failed does not keep a removed endpoint beyond the bound`() =
        withPeers(silent = 1) { silent, sound ->
            val heardAt = context.now()
            leave(silent.single())
            silent.single().sendStatus()
            delay(SILENT_FETCH_MILLISECONDS)
            gossip.store.recordFailure(unansweredSince = heardAt.minusMillis(SILENT_FETCH_MILLISECONDS))
            gossip.store.recordResponse()
            val removal = ObjectChange(stored(ENDPOINT, DRAINING_REVISION), removed = true)
            sound.endpoints.apply(listOf(removal), DRAINING_REVISION, NOW)
            sound.sendStatus()
            while (ENDPOINT in view.endpoints.entries.values) delay(POLL_MILLISECONDS)
            delay(LEARNT_WITHIN_MILLISECONDS - Duration.between(heardAt, context.now()).toMillis())
            expectThat(usable).isFalse()
        }

    @Test
    fun `a router whose peers are gone reads all that requests rest on from the store itself in time`() =
        withPeers(silent = 2) { silent, sound ->
            val settledAt = context.now().plusMillis(DISCOVERY_MILLISECONDS)
            while (context.now() < settledAt) {
                peers.forEach { it.sendStatus() }
                delay(POLL_MILLISECONDS)
            }
            listed.clear()
            (silent + sound).forEach { it.stop() }
            val inTime = withTimeoutOrNull(SHORTEST_DRAIN_MILLISECONDS) {
                while (!listed.containsAll(RELIED_ON)) delay(POLL_MILLISECONDS)
                true
            }
            expectThat(inTime ?: false).isTrue()
        }

    private companion object {
        val RELIED_ON: List<ObjectKind<*>> = listOf(
            ObjectKinds.ENDPOINTS,
            ObjectKinds.ROLLOUTS,
            ObjectKinds.EVACUATIONS,
            ObjectKinds.CONFIGURATION,
        )
        const val ENDPOINT = "endpoint-1"
        const val DRAINING_REVISION = 2L
        const val LATER_REVISION = 3L
        const val BACKLOG = 50
        const val POLL_MILLISECONDS = 10L
        const val FETCH_MILLISECONDS = 300L

        /** Longer than a fetch waits for a peer. */
        const val SILENT_FETCH_MILLISECONDS = 1_000L
        const val LARGE_FLEET_INTERVAL_MILLISECONDS = 7_300L
        const val TIMEOUT_MILLISECONDS = 10_000L

        const val MAX_DATAGRAM_BYTES = 8_192

        /** Longer than a router waits for its peers when it starts. */
        const val DISCOVERY_MILLISECONDS = 2_000L

        /** The shortest `drain_ms` of a deployment whose status messages come that rarely. */
        const val SHORTEST_DRAIN_MILLISECONDS = 3_000L

        /** The shortest `drain_ms`, 2,000 ms, less the 250 ms until the first status message that tells of a leave. */
        const val LEARNT_WITHIN_MILLISECONDS = 1_750L
        val NOW: Instant = Instant.now()
        val SERVICE = ServiceName("s")
    }
}
