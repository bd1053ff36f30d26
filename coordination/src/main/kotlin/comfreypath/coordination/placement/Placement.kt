package comfreypath.coordination.placement

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.routing.Endpoint

private const val LOAD_BOUND_FACTOR = 1.6
private const val LOAD_BOUND_SLACK = 3.0

/**
 * An endpoint that is eligible for a request.
 *
 * @property load the number of requests that all routers are known to have in flight at the endpoint
 */
class Candidate(val endpoint: Endpoint, val nameHash: Long, val load: Int)

/** The mean load of the candidates; 0 if the list is empty. */
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
 * Every router sends requests with the same prompt prefix to the same endpoint, chosen by rendezvous hashing, so that
 * they hit its prompt cache. An endpoint whose load has reached the bound, a multiple of the mean load plus a constant,
 * is skipped in favour of the next one in the ranking. This spreads a prefix that many callers use at once.
 */
object Placement {
    /**
     * The endpoint for a request with the shared prompt prefix [prefixId], or null if there are no candidates.
     *
     * @param serviceMeanLoad the mean load of all endpoints of the service, including those that are not candidates.
     * The candidates may therefore all be at the bound; the least loaded one then gets the request.
     * @param boundFactor the multiple of that mean at which an endpoint is skipped
     */
    fun byPrompt(
        candidates: List<Candidate>,
        prefixId: Long,
        serviceMeanLoad: Double = candidates.meanLoad(),
        boundFactor: Double = LOAD_BOUND_FACTOR,
    ): Candidate? {
        val bound = (boundFactor * serviceMeanLoad + LOAD_BOUND_SLACK).toInt()
        return highestRankedBelow(bound, candidates, prefixId) ?: candidates.minByOrNull { it.load }
    }

    /**
     * The highest-ranked candidate for [prefixId] with a load below [bound].
     *
     * A single pass, since there may be thousands of candidates.
     */
    private fun highestRankedBelow(bound: Int, candidates: List<Candidate>, prefixId: Long): Candidate? {
        var best: Candidate? = null
        var bestRank = Long.MIN_VALUE
        for (index in candidates.indices) {
            val candidate = candidates[index]
            val rank = mix(prefixId, candidate.nameHash)
            if (rank >= bestRank && candidate.load < bound) {
                best = candidate
                bestRank = rank
            }
        }
        return best
    }

    /**
     * The candidates that this router may send to if its own requests are to be spread evenly.
     *
     * The loads that peers report are some hundred milliseconds old, so that routers which all choose the least loaded
     * endpoint overload it together. Even shares of each router give an even sum without any message.
     *
     * @param ownLoad the requests that this router has in flight at an endpoint
     */
    fun withinEvenShare(candidates: List<Candidate>, ownLoad: (Candidate) -> Int): List<Candidate> {
        val total = candidates.sumOf(ownLoad)
        return candidates.filter { ownLoad(it) * candidates.size <= total }
    }

    /**
     * The endpoint for a request without a shared prompt prefix, or null if there are no candidates.
     *
     * Prefers the least loaded endpoint in [localDataCentre] with less than half of its slots in use, else takes the
     * least loaded of all, relative to its slots. [salt] breaks ties.
     */
    fun byLoad(candidates: List<Candidate>, localDataCentre: DataCentreName, salt: Long): Candidate? {
        val ordered = candidates.sortedWith(
            compareBy({ it.load.toDouble() / it.endpoint.slots }, { mix(salt, it.nameHash) })
        )
        return ordered.firstOrNull { it.endpoint.dataCentre == localDataCentre && it.load < it.endpoint.slots / 2 }
            ?: ordered.firstOrNull()
    }
}
