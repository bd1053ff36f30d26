package comfreypath.coordination.fleet

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import java.time.Instant

/**
 * Bounded model check: explores every order of events between two routers up to a depth, and looks for a freshness
 * confirmation that is dated too late.
 *
 * The isolated router can't reach the store. It has the first configuration and relies on the confirmations of the
 * reader, which reads the store. Messages may arrive at any later time, in any order. The isolated router may be
 * suspended, so that its steady clock stops. A confirmation states that the first configuration was still the newest
 * at some time of the isolated router's steady clock. It is dated too late if the store had replaced the configuration
 * by then.
 *
 * @property date returns the time of a confirmation: the protocol's own, or another one to show that the check can fail
 */
internal class FreshnessModelCheck(
    private val date: (confirmedAt: Instant, now: Instant, ageMilliseconds: Long) -> Instant,
) {
    private val protocol = GossipProtocol()
    private val isolated = address("isolated")
    private val reader = address("reader")

    /** Number of visited states. */
    var visited = 0L
        private set

    /** Events that lead to the first confirmation dated too late; null if none was found. */
    var counterexample: List<String>? = null
        private set

    private data class Message(val status: PeerStatus, val toIsolated: Boolean)

    /**
     * All times are in milliseconds.
     *
     * @property time true time
     * @property suspended total time for which the isolated router was suspended
     * @property clockReadings for each reading of the isolated router's steady clock, the true time at which it first
     * showed it
     * @property replacedAt time at which the store replaced the configuration; null before
     * @property readAt time at which the reader sent its latest read that returned the first configuration; null before
     */
    private data class SystemState(
        val time: Long,
        val suspended: Long,
        val clockReadings: Map<Long, Long>,
        val replacedAt: Long?,
        val readAt: Long?,
        val isolated: GossipState,
        val reader: GossipState,
        val network: List<Message>,
        val trace: List<String>,
    ) {
        val steady: Long get() = time - suspended
    }

    /** Explores all orders of [depth] events. */
    fun explore(depth: Int) {
        val first = SystemState(
            time = START,
            suspended = 0,
            clockReadings = (0..START).associateWith { it },
            replacedAt = null,
            readAt = null,
            isolated = GossipState(isolated.name, incarnation = 1),
            reader = GossipState(reader.name, incarnation = 2),
            network = emptyList(),
            trace = emptyList(),
        )
        visit(first, depth)
    }

    private fun visit(state: SystemState, depth: Int) {
        visited++
        if (depth > 0 && counterexample == null) {
            successors(state).forEach { visit(it, depth - 1) }
        }
    }

    private fun successors(state: SystemState): Sequence<SystemState> = sequence {
        yield(after(state, "the isolated router sends") { it.copy(network = it.network + statusOfIsolated(it)) })
        yield(after(state, "the reader sends") { it.copy(network = it.network + statusOfReader(it)) })
        if (state.replacedAt == null) {
            yield(after(state, "the reader reads") { it.copy(readAt = it.time) })
            yield(after(state, "the store replaces the configuration") { it.copy(replacedAt = it.time) })
        }
        yield(suspended(state))
        state.network.distinct().forEach { message ->
            yield(after(state, "a status message arrives: ${message.status.from}") { delivered(it, message) })
        }
    }

    /** Advances the time by one step, then applies [event]. */
    private fun after(state: SystemState, name: String, event: (SystemState) -> SystemState): SystemState {
        val time = state.time + STEP
        val steady = time - state.suspended
        val next = state.copy(
            time = time,
            clockReadings = state.clockReadings + (steady - STEP + 1..steady).associateWith { it + state.suspended },
            trace = state.trace + name,
        )
        return event(next)
    }

    private fun suspended(state: SystemState) = state.copy(
        time = state.time + SUSPENSION,
        suspended = state.suspended + SUSPENSION,
        trace = state.trace + "the isolated router is suspended",
    )

    private fun statusOfIsolated(state: SystemState) = Message(
        PeerStatus(
            from = isolated.name,
            dataCentre = isolated.dataCentre,
            stamp = StatusStamp(state.isolated.incarnation, state.steady),
            echo = state.isolated.peers[reader.name]?.status?.stamp,
        ),
        toIsolated = false,
    )

    private fun statusOfReader(state: SystemState) = Message(
        PeerStatus(
            from = reader.name,
            dataCentre = reader.dataCentre,
            stamp = StatusStamp(state.reader.incarnation, state.time),
            echo = state.reader.peers[isolated.name]?.status?.stamp,
            configuration = state.readAt?.let {
                ConfigurationFreshness(version = 1, ageMilliseconds = state.time - it)
            },
        ),
        toIsolated = true,
    )

    private fun delivered(state: SystemState, message: Message): SystemState {
        val rest = state.copy(network = state.network - message)
        return if (message.toIsolated) {
            val now = Instant.ofEpochMilli(state.steady)
            val step = protocol.step(state.isolated, GossipEvent.StatusReceived(message.status, reader), now)
            step.actions.filterIsInstance<GossipAction.ConfirmConfiguration>()
                .forEach { check(state, message, it, now) }
            rest.copy(isolated = step.state)
        } else {
            val now = Instant.ofEpochMilli(state.time)
            rest.copy(
                reader = protocol.step(state.reader, GossipEvent.StatusReceived(message.status, isolated), now).state,
            )
        }
    }

    private fun check(state: SystemState, message: Message, confirm: GossipAction.ConfirmConfiguration, now: Instant) {
        val age = checkNotNull(message.status.configuration).ageMilliseconds
        val confirmedAt = date(confirm.confirmedAt, now, age).toEpochMilli()
        val trueTime = state.clockReadings[confirmedAt] ?: return
        val replacedAt = state.replacedAt ?: return
        if (trueTime >= replacedAt && counterexample == null) {
            counterexample = state.trace
        }
    }

    private fun address(name: String) = PeerAddress(InstanceName(name), "10.0.0.1", port = 1, DataCentreName("south"))

    private companion object {
        const val START = 1_000L
        const val STEP = 10L
        const val SUSPENSION = 100L
    }
}
