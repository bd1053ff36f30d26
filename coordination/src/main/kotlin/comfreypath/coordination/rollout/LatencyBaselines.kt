package comfreypath.coordination.rollout

import java.time.Duration

private const val WINDOW = 24
private const val MIN_SAMPLES = 6
private const val MAX_ROUTES = 64
private const val SLOW_FACTOR = 2.5
private const val SLOW_FACTOR_OF_PROMPTS = 4.0
private const val MIN_DELAY_MILLISECONDS = 10L
private const val INITIAL_CAPACITY = 16
private const val LOAD_FACTOR = 0.75f

/**
 * The times of recent responses of the versions in use before a rollout, by route. Responses that take several times
 * the median are slow.
 */
class LatencyBaselines {
    private val routes = object : LinkedHashMap<String, Window>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Window>): Boolean = size > MAX_ROUTES
    }

    private class Window {
        val firstEvents = ArrayDeque<Long>()
        val paces = ArrayDeque<Long>()
    }

    /** Records the times of a response of a version that is not being rolled out. */
    fun record(sample: AttemptSample) {
        if (sample.partial) {
            return
        }
        val window = routes.getOrPut(sample.route) { Window() }
        sample.firstEvent?.let { window.firstEvents.append(it) }
        sample.pace?.let { window.paces.append(it) }
    }

    private fun ArrayDeque<Long>.append(time: Duration) {
        addLast(time.toMillis())
        if (size > WINDOW) removeFirst()
    }

    /** The tallies that [sample] adds: one sample of each aspect that it shows. */
    fun classify(sample: AttemptSample): Map<VersionAspect, Tally> {
        val window = routes[sample.route]
        val firstEventFactor = if (sample.hasPrompt) SLOW_FACTOR_OF_PROMPTS else SLOW_FACTOR
        val firstEventAspect = if (sample.hasPrompt) VersionAspect.FIRST_EVENT_OF_PROMPT else VersionAspect.FIRST_EVENT
        val ended = sample.result != AttemptResult.RESPONDING
        return listOfNotNull(
            if (ended) VersionAspect.FAILED to tally(sample.result == AttemptResult.FAILED) else null,
            if (ended) VersionAspect.LOST to tally(sample.result == AttemptResult.LOST) else null,
            slow(sample, sample.firstEvent, window?.firstEvents, firstEventFactor)?.let { firstEventAspect to it },
            slow(sample, sample.pace, window?.paces, SLOW_FACTOR)?.let { VersionAspect.PACE to it },
        ).toMap()
    }

    private fun tally(bad: Boolean) = Tally(samples = 1, bad = if (bad) 1 else 0)

    /** A bad sample if [time] is several times the median of [recent]; null if that can't be told. */
    private fun slow(sample: AttemptSample, time: Duration?, recent: ArrayDeque<Long>?, factor: Double): Tally? =
        if (time == null || recent == null || recent.size < MIN_SAMPLES) {
            null
        } else {
            val median = recent.sorted()[recent.size / 2]
            val slow = time.toMillis() > maxOf(median * factor, (median + MIN_DELAY_MILLISECONDS).toDouble())
            tally(slow).takeIf { slow || !sample.partial }
        }
}
