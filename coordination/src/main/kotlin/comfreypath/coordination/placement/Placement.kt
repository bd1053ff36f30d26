package comfreypath.coordination.placement

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.routing.Endpoint
import kotlin.math.ln
import kotlin.math.sqrt

private const val LOAD_BOUND_FACTOR = 1.6
private const val LOAD_BOUND_SLACK = 3.0

/** The multiple of the mean load, plus the slack, that no endpoint may exceed. */
private const val LOAD_LIMIT_FACTOR = 2.0

/** Standard deviations of the unreported requests that are kept below the limit. */
private const val LIMIT_DEVIATIONS = 2.0

/** Unreported requests vary more than independent ones would, by this part of the square of their number. */
private const val OVERDISPERSION = 0.25

/** The least weight of an endpoint while loads are leveled, relative to the mean load. */
private const val MIN_LEVELING_WEIGHT = 0.01

private const val COPY_SALT = 0x636f706965L

/**
 * An endpoint that is eligible for a request.
 *
 * @property load the number of requests that all routers have reported to have in flight at the endpoint
 * @property estimate the load now, if the reports have an age
 * @property pace the expected duration of work at the endpoint now, relative to usual; 1 where nothing is told
 * @property tellsPace whether the endpoint tells how long work takes
 */
class Candidate(
    val endpoint: Endpoint,
    val nameHash: Long,
    val load: Int,
    val estimate: LoadEstimate = LoadEstimate(load.toDouble()),
    val pace: Double = 1.0,
    val tellsPace: Boolean = false,
)

/** The mean estimated load of the candidates; 0 if the list is empty. */
fun List<Candidate>.meanLoad(): Double {
    var sum = 0.0
    for (index in indices) {
        sum += this[index].estimate.expected
    }
    return if (isEmpty()) 0.0 else sum / size
}

/**
 * Chooses the endpoint for a request.
 *
 * Every router sends requests with the same prompt prefix to the same endpoint, chosen by rendezvous hashing, so that
 * they hit its prompt cache. An endpoint whose load has reached the bound, a multiple of the mean load plus a constant,
 * is skipped in favour of the next one in the ranking. This spreads a prefix that many callers use at once. The bound
 * is lower while much of the load is unreported, since the routers that rank alike then exceed it together.
 */
object Placement {
    /**
     * The endpoint for a request with the shared prompt prefix [prefixId], or null if there are no candidates.
     *
     * @param serviceMeanLoad the mean load of all endpoints of the service, including those that are not candidates.
     * The candidates may therefore all be at the bound; their loads are leveled then.
     * @param boundFactor the multiple of that mean at which an endpoint is skipped
     */
    fun byPrompt(
        candidates: List<Candidate>,
        prefixId: Long,
        serviceMeanLoad: Double = candidates.meanLoad(),
        boundFactor: Double = LOAD_BOUND_FACTOR,
    ): Candidate? {
        val bound = boundFactor * serviceMeanLoad + LOAD_BOUND_SLACK
        val limit = LOAD_LIMIT_FACTOR * serviceMeanLoad + LOAD_BOUND_SLACK
        return highestRankedBelow(bound, limit, candidates, prefixId)
            ?: leveling(candidates, prefixId)
    }

    /**
     * The key by which a request with the prefix [prefixId] is ranked if the prefix is placed as [copies] prefixes;
     * [salt] chooses one of them.
     */
    fun keyOf(prefixId: Long, copies: Int, salt: Long): Long {
        val copy = (unitInterval(mix(salt, COPY_SALT)) * copies).toLong()
        return if (copy == 0L) prefixId else mix(prefixId, copy)
    }

    /**
     * The highest-ranked candidate for [prefixId] with a load below [bound], and safely below [limit].
     *
     * A single pass, since there may be thousands of candidates.
     */
    private fun highestRankedBelow(
        bound: Double,
        limit: Double,
        candidates: List<Candidate>,
        prefixId: Long,
    ): Candidate? {
        var best: Candidate? = null
        var bestRank = Long.MIN_VALUE
        for (index in candidates.indices) {
            val candidate = candidates[index]
            val rank = mix(prefixId, candidate.nameHash)
            if (rank >= bestRank && candidate.estimate.isBelow(bound, limit)) {
                best = candidate
                bestRank = rank
            }
        }
        return best
    }

    /**
     * The candidate for [prefixId] while all are at the bound: the highest-ranked by weighted rendezvous hashing.
     *
     * The weights level the loads within the time in which reports arrive. If all routers sent to the least loaded
     * endpoints instead, these would become the most loaded ones before any report shows it.
     */
    private fun leveling(candidates: List<Candidate>, prefixId: Long): Candidate? {
        val mean = candidates.meanLoad()
        val arriving = if (candidates.isEmpty()) 0.0 else candidates.sumOf { it.estimate.unreported } / candidates.size
        return candidates.maxByOrNull { candidate ->
            val weight = mean + arriving - candidate.estimate.expected
            val point = unitInterval(mix(prefixId, candidate.nameHash) xor Long.MIN_VALUE)
            ln(point) / maxOf(weight, MIN_LEVELING_WEIGHT * mean)
        }
    }

    private fun LoadEstimate.isBelow(bound: Double, limit: Double): Boolean =
        expected < bound && expected < limit - LIMIT_DEVIATIONS * sqrt(unreported * (1 + OVERDISPERSION * unreported))

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
            compareBy({ it.estimate.expected / it.endpoint.slots }, { mix(salt, it.nameHash) })
        )
        return ordered.firstOrNull {
            it.endpoint.dataCentre == localDataCentre && it.estimate.expected < it.endpoint.slots / 2
        }
            ?: ordered.firstOrNull()
    }
}
