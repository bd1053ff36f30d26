package comfreypath.coordination.health

import comfreypath.coordination.model.EndpointName
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import java.time.Duration
import java.time.Instant

private const val MIN_ENDPOINTS = 2
private const val QUIET_MILLISECONDS = 250L
private const val TRIAL_MILLISECONDS = 500L
private const val BASE_OUTAGE_MILLISECONDS = 500L
private const val MAX_OUTAGE_MILLISECONDS = 2_000L
private const val MAX_DOUBLINGS = 8

/**
 * What one router's requests show about a data centre.
 *
 * @property heardAt when any of its endpoints last sent something
 * @property unanswered the endpoints that could not be reached, or were silent, since then
 * @property outages the number of outages in a row that were noticed without a response in between
 * @property outUntil when the data centre may be tried again; null if it is not out
 * @property onTrial true while one request tries whether the outage has ended
 */
data class DataCentreHealth(
    val heardAt: Instant = Instant.EPOCH,
    val unanswered: PersistentSet<EndpointName> = persistentSetOf(),
    val outages: Int = 0,
    val outUntil: Instant? = null,
    val onTrial: Boolean = false,
) {
    /** True if the data centre is not to be used at [now]. */
    fun isOut(now: Instant): Boolean = outUntil?.let { now < it } ?: false
}

/**
 * When a data centre counts as out, and for how long.
 *
 * @property minEndpoints the number of different endpoints that must fail with none heard in between
 * @property quietTime how long none of the endpoints must have been heard
 * @property trialTime how long one request tries a data centre whose outage may have ended, before others do
 * @property baseOutage the duration of the first outage; each further one in a row doubles it
 * @property maxOutage the maximum duration until the data centre is tried again
 */
data class DataCentreOptions(
    val minEndpoints: Int = MIN_ENDPOINTS,
    val quietTime: Duration = Duration.ofMillis(QUIET_MILLISECONDS),
    val trialTime: Duration = Duration.ofMillis(TRIAL_MILLISECONDS),
    val baseOutage: Duration = Duration.ofMillis(BASE_OUTAGE_MILLISECONDS),
    val maxOutage: Duration = Duration.ofMillis(MAX_OUTAGE_MILLISECONDS),
)

/**
 * Notices that a whole data centre can't be reached.
 *
 * Load pattern: a data centre loses power or is cut off at the peak. Its endpoints stay registered for seconds, and a
 * router that learns of each endpoint alone sends one request after another into a connect timeout. Endpoints of a data
 * centre that fail together, while none of the others is heard, are taken as one outage. A single response ends it.
 */
class DataCentreDetector(private val options: DataCentreOptions = DataCentreOptions()) {
    /** The state after an endpoint of the data centre has sent something at [now]. */
    fun heard(state: DataCentreHealth, now: Instant): DataCentreHealth =
        if (state.unanswered.isEmpty() && state.outages == 0) state.copy(heardAt = now) else DataCentreHealth(now)

    /** The state after a request was sent to the data centre at [now]; one that tries it keeps the others out. */
    fun attempted(state: DataCentreHealth, now: Instant): DataCentreHealth =
        if (state.outages == 0 || state.isOut(now)) {
            state
        } else {
            state.copy(outUntil = now + options.trialTime, onTrial = true)
        }

    /** The state after [endpoint] could not be reached, or was silent, at [now]. */
    fun unanswered(state: DataCentreHealth, endpoint: EndpointName, now: Instant): DataCentreHealth {
        val failed = state.unanswered.add(endpoint)
        val quiet = Duration.between(state.heardAt, now) >= options.quietTime
        val known = state.isOut(now) && !state.onTrial
        val together = failed.size >= options.minEndpoints || state.outages > 0
        return if (known || !quiet || !together) {
            state.copy(unanswered = failed)
        } else {
            val doubled = options.baseOutage.multipliedBy(1L shl state.outages.coerceAtMost(MAX_DOUBLINGS))
            DataCentreHealth(state.heardAt, failed, state.outages + 1, now + minOf(doubled, options.maxOutage))
        }
    }

    /**
     * The [candidates] outside of data centres that are out; all of them if fewer than half would remain, since the
     * router itself is probably cut off then.
     */
    fun <T> usable(candidates: List<T>, isOut: (T) -> Boolean): List<T> {
        val reachable = candidates.filterNot(isOut)
        return if (reachable.size * 2 >= candidates.size) reachable else candidates
    }
}
