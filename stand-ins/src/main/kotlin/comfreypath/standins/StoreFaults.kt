package comfreypath.standins

import kotlinx.serialization.Serializable

/**
 * The faults of an object store stand-in, set as a whole by `POST /faults`.
 *
 * @property latencyMilliseconds the time that a call takes
 * @property outage answers nothing, on connections that stay open
 * @property refuse refuses every call with status 503
 * @property loseAnswersPercent of every hundred writes, how many take effect and lose their answer
 * @property silentWatches keeps watches open and tells them nothing
 * @property forgetHistory forgets the history once, when the faults are set
 */
@Serializable
data class StoreFaults(
    val latencyMilliseconds: Long = 2,
    val outage: Boolean = false,
    val refuse: Boolean = false,
    val loseAnswersPercent: Int = 0,
    val silentWatches: Boolean = false,
    val forgetHistory: Boolean = false,
)

/** The calls that an object store stand-in has counted, given by `GET /counts`. */
@Serializable
data class StoreCounts(val reads: Long = 0, val writes: Long = 0, val conflicts: Long = 0, val watches: Long = 0)
