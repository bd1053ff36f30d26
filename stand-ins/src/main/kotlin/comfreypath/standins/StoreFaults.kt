package comfreypath.standins

import kotlinx.serialization.Serializable

/**
 * The faults that an object store stand-in injects. `POST /faults` replaces all of them.
 *
 * @property latencyMilliseconds the delay before a call is handled
 * @property outage sends no response to any call, and keeps the connections open
 * @property silentKind sends no response to calls about objects of this kind; null for none
 * @property refuse responds to every call with status 503
 * @property loseAnswersPercent the percentage of writes that take effect but get no response
 * @property silentWatches keeps watches open without sending any change
 * @property forgetHistory discards the history of changes, once, when the faults are set
 * @property firstEra the era that the store names in its answers until it steps back; 0 if it names none
 * @property stepBackTo comes back, once, when the faults are set, from a copy of this revision; 0 for none
 * @property namedEra names this era in all answers, whatever the store's is; null to name the store's
 */
@Serializable
data class StoreFaults(
    val latencyMilliseconds: Long = 2,
    val outage: Boolean = false,
    val silentKind: String? = null,
    val refuse: Boolean = false,
    val loseAnswersPercent: Int = 0,
    val silentWatches: Boolean = false,
    val forgetHistory: Boolean = false,
    val firstEra: Long = 0,
    val stepBackTo: Long = 0,
    val namedEra: Long? = null,
)

/** Counts of the calls of an object store stand-in since its start, returned by `GET /counts`. */
@Serializable
data class StoreCounts(val reads: Long = 0, val writes: Long = 0, val conflicts: Long = 0, val watches: Long = 0)
