package comfreypath.coordination.limits

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.placement.RendezvousHashing
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import comfreypath.coordination.placement.unitInterval
import java.time.Duration

private const val MILLISECONDS_PER_SECOND = 1_000.0

/** One router's share of the request rate that an endpoint takes from all routers. */
sealed interface LimitShare {
    /** The router may send [perSecond] requests per second. */
    data class Rate(val perSecond: Double) : LimitShare

    /**
     * The router only tries whether the limit still holds, with one request per [interval].
     *
     * @property phase where in the interval its trials lie, from 0 to 1
     */
    data class Trials(val interval: Duration, val phase: Double) : LimitShare
}

/**
 * Divides the request rate that an endpoint takes from all routers among them, without messages.
 *
 * A bounded number of routers, selected from the live ones by rendezvous hashing, get equal shares. Each of them may
 * save up one request, so that their number is also the burst of all together; it grows with the rate. Routers that
 * hold different views of who is live add to both for a while, which the endpoint's tolerance must cover. All other
 * routers make trials at different times, so that they notice the end of the limit.
 */
class LimitShares(private val options: EndpointLimitOptions = EndpointLimitOptions()) {
    /** The share of a router that knows [routers] in the [rate] per second that [endpoint] takes. */
    fun of(endpoint: EndpointName, rate: Double, routers: KnownRouters): LimitShare {
        val shared = rate.coerceIn(options.minRate, options.maxRate)
        val key = hashOf(endpoint.text)
        val candidates = candidates(routers)
        val count = maxOf(candidates.size, routers.registered.size)
        val senders = minOf(maxSenders(shared), count)
        val selected = RendezvousHashing(candidates) { it.text }.top(key, senders) { true }
        val left = if (senders < count) 1 - options.trialShare else 1.0
        return if (routers.self in selected) {
            LimitShare.Rate(shared * left / senders)
        } else {
            val seconds = count / (shared * options.trialShare)
            LimitShare.Trials(
                interval = Duration.ofMillis((seconds * MILLISECONDS_PER_SECOND).toLong()),
                phase = unitInterval(mix(key, hashOf(routers.self.text))),
            )
        }
    }

    /** The highest number of routers that share [rate] requests per second. */
    fun maxSenders(rate: Double): Int =
        options.minSenders + minOf(rate * options.sendersPerRate, options.maxRate).toInt()

    /** Until a router has heard from the others, it assumes that all that are registered are live. */
    private fun candidates(routers: KnownRouters) =
        (routers.live + routers.self + if (routers.settled) emptySet() else routers.registered).sorted()
}
