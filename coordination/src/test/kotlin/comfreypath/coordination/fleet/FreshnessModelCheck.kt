package comfreypath.coordination.fleet

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import java.time.Instant

/**
 * Explores every order of events between two routers up to a depth, and looks for a proof that is dated too late.
 *
 * One router, cut off from the store, knows the first configuration and lives on the proofs of the other, which reads
 * the store. Statuses may arrive at any later time, in any order; the first router may be suspended, so that its steady
 * clock stands still while time goes on. A proof says that the first configuration was still the newest at a time of
 * the first router's steady clock. It is dated too late when the store had replaced the configuration by then.
 *
 * @property date gives the time of a proof: the decision's own, or another one to show that the check can fail
 */
internal class FreshnessModelCheck(
    private val date: (decided: Instant, now: Instant, ageMilliseconds: Long) -> Instant,
) {
    private val protocol = GossipProtocol()
    private val cutOff = address("cut-off")
    private val reader = address("reader")

    /** How many states were visited. */
    var visited = 0L
        private set

    /** What happened before the first proof that was dated too late; null while none was found. */
    var counterexample: List<String>? = null
        private set

    private data class Message(val status: PeerStatus, val toCutOff: Boolean)

    /**
     * @property time the true time
     * @property suspended how long the cut-off router was suspended so far
     * @property clockReadings the true time at which the cut-off router's steady clock first stood at each value
     * @property replacedAt when the store replaced the configuration; null before
     * @property readAt when the reader's last read was sent that found the first configuration; null before
     */
    private data class World(
        val time: Long,
        val suspended: Long,
        val clockReadings: Map<Long, Long>,
        val replacedAt: Long?,
        val readAt: Long?,
        val cutOff: GossipState,
        val reader: GossipState,
        val network: List<Message>,
        val trace: List<String>,
    ) {
        val steady: Long get() = time - suspended
    }

    /** Explores all orders of [depth] events. */
    fun explore(depth: Int) {
        val first = World(
            time = START,
            suspended = 0,
            clockReadings = (0..START).associateWith { it },
            replacedAt = null,
            readAt = null,
            cutOff = GossipState(cutOff.name, incarnation = 1),
            reader = GossipState(reader.name, incarnation = 2),
            network = emptyList(),
            trace = emptyList(),
        )
        visit(first, depth)
    }

    private fun visit(world: World, depth: Int) {
        visited++
        if (depth > 0 && counterexample == null) {
            successors(world).forEach { visit(it, depth - 1) }
        }
    }

    private fun successors(world: World): Sequence<World> = sequence {
        yield(after(world, "the cut-off router sends") { it.copy(network = it.network + statusOfCutOff(it)) })
        yield(after(world, "the reader sends") { it.copy(network = it.network + statusOfReader(it)) })
        if (world.replacedAt == null) {
            yield(after(world, "the reader reads") { it.copy(readAt = it.time) })
            yield(after(world, "the store replaces the configuration") { it.copy(replacedAt = it.time) })
        }
        yield(suspended(world))
        world.network.distinct().forEach { message ->
            yield(after(world, "a status arrives: ${message.status.from}") { delivered(it, message) })
        }
    }

    /** One step of time, then [event]. */
    private fun after(world: World, name: String, event: (World) -> World): World {
        val time = world.time + STEP
        val steady = time - world.suspended
        val next = world.copy(
            time = time,
            clockReadings = world.clockReadings + (steady - STEP + 1..steady).associateWith { it + world.suspended },
            trace = world.trace + name,
        )
        return event(next)
    }

    private fun suspended(world: World) = world.copy(
        time = world.time + SUSPENSION,
        suspended = world.suspended + SUSPENSION,
        trace = world.trace + "the cut-off router is suspended",
    )

    private fun statusOfCutOff(world: World) = Message(
        PeerStatus(
            from = cutOff.name,
            dataCentre = cutOff.dataCentre,
            stamp = StatusStamp(world.cutOff.incarnation, world.steady),
            echo = world.cutOff.peers[reader.name]?.status?.stamp,
        ),
        toCutOff = false,
    )

    private fun statusOfReader(world: World) = Message(
        PeerStatus(
            from = reader.name,
            dataCentre = reader.dataCentre,
            stamp = StatusStamp(world.reader.incarnation, world.time),
            echo = world.reader.peers[cutOff.name]?.status?.stamp,
            configuration = world.readAt?.let {
                ConfigurationFreshness(version = 1, ageMilliseconds = world.time - it)
            },
        ),
        toCutOff = true,
    )

    private fun delivered(world: World, message: Message): World {
        val rest = world.copy(network = world.network - message)
        return if (message.toCutOff) {
            val now = Instant.ofEpochMilli(world.steady)
            val step = protocol.step(world.cutOff, GossipEvent.StatusReceived(message.status, reader), now)
            step.actions.filterIsInstance<GossipAction.ConfirmConfiguration>()
                .forEach { check(world, message, it, now) }
            rest.copy(cutOff = step.state)
        } else {
            val now = Instant.ofEpochMilli(world.time)
            rest.copy(
                reader = protocol.step(world.reader, GossipEvent.StatusReceived(message.status, cutOff), now).state,
            )
        }
    }

    private fun check(world: World, message: Message, confirm: GossipAction.ConfirmConfiguration, now: Instant) {
        val age = checkNotNull(message.status.configuration).ageMilliseconds
        val provenAt = date(confirm.confirmedAt, now, age).toEpochMilli()
        val trueTime = world.clockReadings[provenAt] ?: return
        val replacedAt = world.replacedAt ?: return
        if (trueTime >= replacedAt && counterexample == null) {
            counterexample = world.trace
        }
    }

    private fun address(name: String) = PeerAddress(InstanceName(name), "10.0.0.1", port = 1, DataCentreName("south"))

    private companion object {
        const val START = 1_000L
        const val STEP = 10L
        const val SUSPENSION = 100L
    }
}
