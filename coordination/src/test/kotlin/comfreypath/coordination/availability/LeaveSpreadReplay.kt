package comfreypath.coordination.availability

import comfreypath.coordination.fleet.GossipOptions
import java.util.Random

/**
 * What an announced leave costs a fleet.
 *
 * @property requests those that reached the endpoint after its first response that announced the leave
 * @property bytesPerSecond what telling adds to the messages of a router, both directions
 */
internal data class LeaveSpread(val requests: Int, val bytesPerSecond: Double)

/**
 * Simulates how the routers of a fleet learn, in steps of a millisecond, that an endpoint leaves which says so in its
 * responses alone: each from its own first response, or, if it [tells] its peers, also from their status messages.
 *
 * @param perSecond requests per second that would reach the endpoint from all routers together
 */
internal class LeaveSpreadReplay(
    seed: Long,
    private val routers: Int,
    private val perSecond: Double,
    private val tells: Boolean,
) {
    private val random = Random(seed)
    private val interval = GossipOptions().interval(routers - 1).toMillis().toInt()
    private val phases = List(routers) { random.nextInt(interval) }
    private val informed = BooleanArray(routers)

    /** The routers that have learned of the leave from a response, and so may tell. */
    private val witnesses = BooleanArray(routers)
    private var requests = 0
    private var bytes = 0

    /** Runs the simulation for as long as a departure is told. */
    fun run(): LeaveSpread {
        for (now in 0 until DURATION) {
            if (random.nextDouble() < perSecond / MILLISECONDS) send(random.nextInt(routers))
            if (tells) phases.forEachIndexed { router, phase -> if (now % interval == phase) tell(router) }
        }
        val seconds = DURATION / MILLISECONDS
        return LeaveSpread(requests - 1, 2.0 * bytes / seconds / routers)
    }

    private fun send(router: Int) {
        if (!informed[router]) {
            requests++
            informed[router] = true
            witnesses[router] = true
        }
    }

    private fun tell(router: Int) {
        if (witnesses[router]) {
            bytes += BYTES * (routers - 1)
            informed.fill(true)
        }
    }

    private companion object {
        const val MILLISECONDS = 1_000
        const val DURATION = 10_000

        /** A key and a start time in base 36, with separators. */
        const val BYTES = 14
    }
}
