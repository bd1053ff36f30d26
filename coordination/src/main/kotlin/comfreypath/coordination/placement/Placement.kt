package comfreypath.coordination.placement

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.routing.Endpoint

private const val BOUND_FACTOR = 1.6
private const val BOUND_SLACK = 3.0

/**
 * An endpoint that may take a request.
 *
 * @property nameHash the hash of the endpoint's name
 * @property load the requests that all routers are known to have at it
 */
class Candidate(val endpoint: Endpoint, val nameHash: Long, val load: Int)

/** The mean load; 0 when there are none. */
fun List<Candidate>.meanLoad(): Double {
    var sum = 0L
    for (index in indices) {
        sum += this[index].load
    }
    return if (isEmpty()) 0.0 else sum.toDouble() / size
}

/**
 * Chooses the endpoint for a request.
 *
 * Requests with equal prompts go to the same endpoint from every router, by rendezvous hashing, so that its cache
 * serves them. An endpoint whose load exceeds a multiple of the mean is passed over for the next in the request's
 * order; this answers a prompt that many callers use at once.
 */
object Placement {
    /**
     * The endpoint for a request whose shared prompt hashes to [key], or null when there is no candidate.
     *
     * @param serviceMeanLoad the mean load of all endpoints of the service. Those that may not be used count too, so
     * that the others together may have more than the bound allows; the least loaded gets the request then.
     */
    fun byPrompt(candidates: List<Candidate>, key: Long, serviceMeanLoad: Double = candidates.meanLoad()): Candidate? {
        val bound = (BOUND_FACTOR * serviceMeanLoad + BOUND_SLACK).toInt()
        return firstWithin(bound, candidates, key) ?: candidates.minByOrNull { it.load }
    }

    /** The first in the order of [key] whose load stays within [bound]; in one pass, since there may be thousands. */
    private fun firstWithin(bound: Int, candidates: List<Candidate>, key: Long): Candidate? {
        var best: Candidate? = null
        var bestRank = Long.MIN_VALUE
        for (index in candidates.indices) {
            val candidate = candidates[index]
            val rank = mix(key, candidate.nameHash)
            if (rank >= bestRank && candidate.load < bound) {
                best = candidate
                bestRank = rank
            }
        }
        return best
    }

    /** The endpoint for a request that any endpoint serves alike: one near with free slots, else the least loaded. */
    fun byLoad(candidates: List<Candidate>, localDataCentre: DataCentreName, salt: Long): Candidate? {
        val ordered = candidates.sortedWith(
            compareBy({ it.load.toDouble() / it.endpoint.slots }, { mix(salt, it.nameHash) })
        )
        return ordered.firstOrNull { it.endpoint.dataCentre == localDataCentre && it.load < it.endpoint.slots / 2 }
            ?: ordered.firstOrNull()
    }
}
