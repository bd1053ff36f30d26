package comfreypath.coordination.cold

import comfreypath.coordination.limits.TokenBucket
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.placement.RendezvousHashing
import comfreypath.coordination.placement.hashOf
import java.time.Instant

private const val SENDERS = 5
private const val USED_SHARE = 0.6

/**
 * Keeps what all routers together send to a cold endpoint within what it bears.
 *
 * A cold endpoint is sent to by a few routers only, chosen by rendezvous hashing over the live ones, each with an equal
 * part of a share of the rate. The share leaves room for two sets of routers that believe themselves chosen while
 * they disagree about who is live; whole requests are handed out, not fractions.
 *
 * @property maxSenders the most routers that send to one cold endpoint
 * @property utilization the part of the endpoint's rate that is used
 */
class ColdAdmission(private val maxSenders: Int = SENDERS, private val utilization: Double = USED_SHARE) {
    /** The requests a second that [self] may send to a cold endpoint that bears [rate]; 0 if others send to it. */
    fun ownRate(endpoint: EndpointName, rate: Double, self: InstanceName, live: Collection<InstanceName>): Double {
        val routers = (live + self).distinct().sorted()
        val chosen = RendezvousHashing(routers) { it.text }.top(hashOf(endpoint.text), maxSenders) { true }
        return if (self in chosen) rate * utilization / chosen.size else 0.0
    }

    /** The bucket for that rate, keeping what [bucket] had; null when nothing may be sent. */
    fun bucket(bucket: TokenBucket?, rate: Double, now: Instant): TokenBucket? = when {
        rate <= 0.0 -> null
        bucket == null -> TokenBucket(rate, burst = 1.0, filledAt = now)
        else -> bucket.withRate(rate, now)
    }
}
