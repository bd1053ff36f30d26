package comfreypath.coordination.fleet

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.time.Instant

private const val ROUTERS = 82
private const val START_INTERVAL_MILLISECONDS = 20L

/** Replays the start of a whole fleet after a loss of power, whose routers start one after the other. */
class FleetStartReplayTest {
    private val options = GossipOptions()
    private val protocol = GossipProtocol(options)
    private val south = DataCentreName("south")
    private val start = Instant.ofEpochMilli(1_000_000)
    private val addresses = (1..ROUTERS).map { PeerAddress(InstanceName("router-$it"), "10.0.0.$it", 7, south) }
    private val states = HashMap<InstanceName, GossipState>()
    private var deliveries = 0

    private fun statusOf(name: InstanceName, at: Instant) =
        PeerStatus(name, south, StatusStamp(states.getValue(name).incarnation, at.toEpochMilli()))

    private fun startRouter(number: Int, at: Instant) {
        val address = addresses[number]
        val initial = GossipState(address.name, incarnation = number + 1)
        states[address.name] = protocol.step(initial, GossipEvent.Registered(addresses), at).state
        step(address, GossipEvent.Tick(statusOf(address.name, at)), at)
    }

    private fun step(router: PeerAddress, event: GossipEvent, at: Instant) {
        val step = protocol.step(states.getValue(router.name), event, at)
        states[router.name] = step.state
        step.actions.forEach { action ->
            when (action) {
                is GossipAction.Send -> deliver(router, action.to, action.status.copy(echo = action.echo), at)
                is GossipAction.Reply ->
                    deliver(router, action.to, statusOf(router.name, at).copy(echo = action.echo), at)
                else -> Unit
            }
        }
    }

    private fun deliver(from: PeerAddress, to: PeerAddress, status: PeerStatus, at: Instant) {
        if (to.name in states) {
            deliveries += 1
            step(to, GossipEvent.StatusReceived(status, from), at.plusMillis(1))
        }
    }

    @Test
    fun `two routers tell each other their status once, and all are live at once`() {
        repeat(ROUTERS) { startRouter(it, start.plusMillis(it * START_INTERVAL_MILLISECONDS)) }
        expectThat(deliveries).isEqualTo(ROUTERS * (ROUTERS - 1))
        val end = start.plusMillis(ROUTERS * START_INTERVAL_MILLISECONDS)
        expectThat(states.values.all { it.livePeers(options, end).size == ROUTERS - 1 }).isTrue()
    }

    @Test
    fun `a router that starts again and was not heard yet gets a status at once`() {
        repeat(ROUTERS) { startRouter(it, start.plusMillis(it * START_INTERVAL_MILLISECONDS)) }
        deliveries = 0
        val again = start.plusSeconds(2)
        val restarted = addresses.first()
        val initial = GossipState(restarted.name, incarnation = ROUTERS + 1)
        states[restarted.name] = protocol.step(initial, GossipEvent.Registered(addresses), again).state
        step(restarted, GossipEvent.Tick(statusOf(restarted.name, again)), again)
        expectThat(deliveries).isEqualTo(2 * (ROUTERS - 1))
        expectThat(states.getValue(restarted.name).livePeers(options, again.plusMillis(1)).size).isEqualTo(ROUTERS - 1)
    }
}
