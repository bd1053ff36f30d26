package comfreypath.standins

import kotlinx.serialization.Serializable

/**
 * Counts of an engine stand-in since its start, returned by `GET /counts`.
 *
 * @property cancelled completions that ended before the last chunk because nobody read them
 * @property peakInFlight the maximum number of completions in flight at once, including those that waited
 * @property overloads completions that were started when the engine was already at its capacity
 * @property promptTokens prompt tokens of the completed requests
 * @property cachedTokens the prompt tokens that were in the prefix cache
 */
@Serializable
data class EngineCounts(
    val started: Long = 0,
    val completed: Long = 0,
    val cancelled: Long = 0,
    val peakInFlight: Int = 0,
    val overloads: Long = 0,
    val promptTokens: Long = 0,
    val cachedTokens: Long = 0,
)
