package comfreypath.router.peers

import comfreypath.coordination.fleet.Duty
import comfreypath.coordination.fleet.FleetView
import comfreypath.coordination.fleet.InFlight
import comfreypath.coordination.fleet.LoadMessage
import comfreypath.coordination.fleet.LoadRelay
import comfreypath.coordination.fleet.LoadRelayState
import comfreypath.coordination.fleet.PeerAddress
import comfreypath.coordination.fleet.StatusStamp
import comfreypath.coordination.model.InstanceName
import comfreypath.router.RouterContext
import java.time.Duration

/** Exchanges the loads of endpoints in a large fleet; [send] sends a message to a peer. */
internal class PeerLoads(
    private val context: RouterContext,
    private val send: (PeerAddress, LoadMessage) -> Unit,
) {
    private val relay = LoadRelay()
    private var state = LoadRelayState()

    /** The duties on whose holders this router relies. */
    fun duties(fleet: FleetView): List<Duty> = listOf(relay.duty(fleet))

    /** Sends the messages that are due; [own] are this router's requests in flight. */
    fun tick(fleet: FleetView, own: () -> InFlight, incarnation: Int) {
        if (fleet.now >= state.nextAt) {
            val step = relay.tick(state, fleet, own(), StatusStamp(incarnation, fleet.now.toEpochMilli()))
            if (step.state.relay != state.relay) {
                context.log.record("load_relay_chosen", "relay" to (step.state.relay?.name ?: fleet.self))
            }
            state = step.state
            step.actions.forEach { send(it.to, it.message) }
        }
    }

    /** Records a message of a peer; returns false, and keeps nothing of it, if a later one is known. */
    fun receive(message: LoadMessage): Boolean {
        val before = state
        state = relay.received(state, message, context.options.dataCentre, context.now())
        return state !== before
    }

    /** Forgets the messages of peers other than [known]. */
    fun retain(known: Set<InstanceName>) {
        state = relay.retain(state, known)
    }

    /** The mean age of the counts that [inFlight] returns; null while they are not known. */
    val age: Duration? get() = relay.age(state, context.now())

    /** The requests of the peers at the endpoint with [key]; null while it is not known. */
    fun inFlight(key: Int): Int? = relay.atPeers(state, key, context.now())
}
