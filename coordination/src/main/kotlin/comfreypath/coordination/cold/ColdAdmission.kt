package comfreypath.coordination.cold

import comfreypath.coordination.limits.TokenBucket
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.placement.RendezvousHashing
import comfreypath.coordination.placement.hashOf
import java.time.Instant

private const val MAX_SENDERS = 5
private const val RATE_UTILIZATION = 0.6

/**
 * Keeps the combined request rate of all routers to a cold endpoint within the rate that it can sustain.
 *
 * Only a few routers, selected from the live ones by rendezvous hashing, send to a cold endpoint. They use equal shares
 * of only part of its rate. The rest is headroom: while routers disagree about which of them are live, two sets of
 * routers may consider themselves selected, and token buckets grant whole requests, not fractions.
 *
 * @property maxSenders the maximum number of routers that send to one cold endpoint
 * @property utilization the fraction of the endpoint's rate that the routers use
 */
class ColdAdmission(private val maxSenders: Int = MAX_SENDERS, private val utilization: Double = RATE_UTILIZATION) {
    /**
     * The requests per second that [self] may send to the cold [endpoint]; 0 if it is not selected.
     *
     * @param rate the requests per second that the endpoint can sustain while it is cold
     */
    fun ownRate(endpoint: EndpointName, rate: Double, self: InstanceName, live: Collection<InstanceName>): Double {
        val routers = (live + self).distinct().sorted()
        val senders = RendezvousHashing(routers) { it.text }.top(hashOf(endpoint.text), maxSenders) { true }
        return if (self in senders) rate * utilization / senders.size else 0.0
    }

    /** The token bucket for [rate] requests per second, with the tokens of [bucket]; null if [rate] is 0. */
    fun bucket(bucket: TokenBucket?, rate: Double, now: Instant): TokenBucket? = when {
        rate <= 0.0 -> null
        bucket == null -> TokenBucket(rate, burst = 1.0, filledAt = now)
        else -> bucket.withRate(rate, now)
    }
}
