package comfreypath.coordination.fleet

import comfreypath.coordination.Step
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import java.time.Duration
import java.time.Instant

private const val DUTY = "loads"
private const val INTERVAL_MILLISECONDS = 500L
private const val MAX_AGE_MILLISECONDS = 1_600L
private const val SUSPICION_SECONDS = 10L

/** The routers of another data centre that get its sum while its relay is not known. */
private const val MAX_UNKNOWN_RELAYS = 2

/**
 * Timing of the exchange of loads.
 *
 * @property interval time between two messages to the same router
 * @property maxAge age at which the counts of a message no longer count; three messages may be lost
 * @property suspicion time for which a relay that was silent is not chosen again
 */
data class LoadRelayOptions(
    val interval: Duration = Duration.ofMillis(INTERVAL_MILLISECONDS),
    val maxAge: Duration = Duration.ofMillis(MAX_AGE_MILLISECONDS),
    val suspicion: Duration = Duration.ofSeconds(SUSPICION_SECONDS),
)

/** A message and the time of its arrival. */
data class ReceivedLoad(val message: LoadMessage, val at: Instant)

/**
 * State of the exchange of loads at one router.
 *
 * @property reports latest reports of the routers in this data centre, by sender
 * @property sums latest sums of data centres, by the relay that sent them
 * @property fleet latest sum of all routers; null before the first
 * @property reported this router's own counts that [fleet] contains
 * @property relay relay that this router reports to; null while it is the relay itself
 * @property relaySince since when it reports to that relay
 * @property suspects relays that were silent, with the time until which they are not chosen
 * @property nextAt time of the next messages
 */
data class LoadRelayState(
    val reports: PersistentMap<InstanceName, ReceivedLoad> = persistentMapOf(),
    val sums: PersistentMap<InstanceName, ReceivedLoad> = persistentMapOf(),
    val fleet: ReceivedLoad? = null,
    val reported: InFlight = InFlight(),
    val relay: PeerAddress? = null,
    val relaySince: Instant = Instant.EPOCH,
    val suspects: PersistentMap<InstanceName, Instant> = persistentMapOf(),
    val nextAt: Instant = Instant.EPOCH,
)

/** A [message] for the router at [to]. */
data class SendLoad(val to: PeerAddress, val message: LoadMessage)

/**
 * Sums up the requests in flight of a large fleet, so that each router knows the loads of all endpoints at an age of
 * about a second although it hears from few others.
 *
 * Load pattern: many routers that each send a small part of the requests to endpoints with few slots. Counts that are
 * older than a request takes say nothing about a burst, and exchanging them between all routers costs messages with the
 * square of the fleet.
 *
 * In each data centre one router, the relay, receives the reports of the others, exchanges sums with the other relays
 * and returns the sum of the fleet. A relay that is silent is replaced by the next in rank. While two routers both act
 * as relay, the larger of their sums counts, since the smaller one lacks reports.
 */
class LoadRelay(
    private val options: LoadRelayOptions = LoadRelayOptions(),
    private val selector: StoreWatcherSelector = StoreWatcherSelector(requiresStore = false),
) {
    /** The duty on whose holder a router relies for the loads. */
    val duty: (FleetView) -> Duty = { Duty(DUTY, it.local(), selector) }

    /** Records a message of another router. */
    fun received(
        state: LoadRelayState,
        message: LoadMessage,
        dataCentre: DataCentreName,
        now: Instant,
    ): LoadRelayState {
        val arrived = ReceivedLoad(message, now)
        return when (message.scope) {
            LoadScope.ROUTER ->
                state.reports.newer(arrived).let { if (it === state.reports) state else state.copy(reports = it) }
            LoadScope.DATA_CENTRE ->
                state.sums.newer(arrived).let { if (it === state.sums) state else state.copy(sums = it) }
            LoadScope.FLEET -> if (message.dataCentre == dataCentre) state.copy(fleet = arrived) else state
        }
    }

    /** Forgets the messages of routers other than [known]. */
    fun retain(state: LoadRelayState, known: Set<InstanceName>): LoadRelayState =
        if (known.containsAll(state.reports.keys) && known.containsAll(state.sums.keys)) {
            state
        } else {
            state.copy(
                reports = state.reports.filterKeys { it in known }.toPersistentMap(),
                sums = state.sums.filterKeys { it in known }.toPersistentMap(),
            )
        }

    /** Returns the messages to send now; [own] are this router's requests in flight, [stamp] that of its messages. */
    fun tick(
        state: LoadRelayState,
        fleet: FleetView,
        own: InFlight,
        stamp: StatusStamp,
    ): Step<LoadRelayState, SendLoad> {
        val now = fleet.now
        if (now < state.nextAt) {
            return Step(state)
        }
        val current = withRelay(state, fleet)
        fun message(scope: LoadScope, counts: InFlight) =
            LoadMessage(fleet.self, fleet.dataCentre, stamp, scope, counts)
        val relay = current.relay
        return if (relay == null) {
            relayTick(current, fleet, own, ::message)
        } else {
            Step(current.copy(reported = own), listOf(SendLoad(relay, message(LoadScope.ROUTER, own))))
        }
    }

    private fun relayTick(
        state: LoadRelayState,
        fleet: FleetView,
        own: InFlight,
        message: (LoadScope, InFlight) -> LoadMessage,
    ): Step<LoadRelayState, SendLoad> {
        val now = fleet.now
        val reports = state.reports.filterValues { it.isRecent(now) }.toPersistentMap()
        val sums = state.sums.filterValues { it.isRecent(now) }.toPersistentMap()
        val local = message(LoadScope.DATA_CENTRE, InFlight.sum(reports.values.map { it.message.inFlight } + own))
        val largest = sums.values.map { it.message }.filter { it.dataCentre != fleet.dataCentre }
            .groupBy { it.dataCentre }.values
            .map { concurrent -> concurrent.maxBy { it.inFlight.total }.inFlight }
        val total = message(LoadScope.FLEET, InFlight.sum(largest + local.inFlight))
        val toMembers = fleet.local().peers.map { SendLoad(it.address, total) }
        return Step(
            state.copy(reports = reports, sums = sums, fleet = ReceivedLoad(total, now), reported = own),
            toMembers + otherRelays(fleet, sums.keys).map { SendLoad(it.address, local) },
        )
    }

    /** The relays of the other data centres: those that have sent a sum lately, or else those of the highest rank. */
    private fun otherRelays(fleet: FleetView, known: Set<InstanceName>): List<Peer> =
        fleet.peers.filter { it.address.dataCentre != fleet.dataCentre }
            .groupBy { it.address.dataCentre }.values
            .flatMap { peers ->
                peers.filter { it.address.name in known }
                    .ifEmpty { selector.ranked(DUTY, fleet.copy(peers = peers)).take(MAX_UNKNOWN_RELAYS) }
            }

    /** Chooses the relay; one that has sent no sum for too long is suspected, and passed over. */
    private fun withRelay(state: LoadRelayState, fleet: FleetView): LoadRelayState {
        val now = fleet.now
        val silentSince = maxOf(state.relaySince, state.fleet?.at ?: Instant.EPOCH)
        val silent = state.relay?.name.takeIf { Duration.between(silentSince, now) > options.maxAge }
        val suspects = state.suspects.filterValues { now < it }.toPersistentMap()
            .let { known -> if (silent == null) known else known.put(silent, now + options.suspicion) }
        val relay = selector.preceding(DUTY, fleet.local()).firstOrNull { it.address.name !in suspects }?.address
        return state.copy(
            relay = relay,
            relaySince = if (relay == state.relay) state.relaySince else now,
            suspects = suspects,
            nextAt = now + options.interval,
        )
    }

    /** The requests of the other routers at the endpoint with [key]; null while the sum of the fleet is not recent. */
    fun atPeers(state: LoadRelayState, key: Int, now: Instant): Int? =
        state.fleet?.takeIf { it.isRecent(now) }?.let { sum ->
            val total = sum.message.inFlight.counts[key] ?: 0
            (total - (state.reported.counts[key] ?: 0)).coerceAtLeast(0)
        }

    /**
     * The mean age of the counts that [atPeers] returns; null while they are not known. A report waits for half an
     * interval at the relay of its data centre, and for another half at the relay that adds up the fleet.
     */
    fun age(state: LoadRelayState, now: Instant): Duration? =
        state.fleet?.takeIf { it.isRecent(now) }?.let { Duration.between(it.at, now) + options.interval }

    private fun ReceivedLoad.isRecent(now: Instant): Boolean = now <= at + options.maxAge

    private fun PersistentMap<InstanceName, ReceivedLoad>.newer(arrived: ReceivedLoad) =
        arrived.message.let { message ->
            val known = this[message.from]?.message?.stamp
            val outdated = known != null && known.incarnation == message.stamp.incarnation &&
                known.milliseconds >= message.stamp.milliseconds
            if (outdated) this else put(message.from, arrived)
        }
}
