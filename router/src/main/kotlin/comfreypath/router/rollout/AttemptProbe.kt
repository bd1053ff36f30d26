package comfreypath.router.rollout

import comfreypath.coordination.endpointload.PaceEstimator
import comfreypath.coordination.rollout.AttemptResult
import comfreypath.coordination.rollout.AttemptSample
import comfreypath.coordination.verdict.AttemptOutcome
import comfreypath.router.request.toAttemptResult
import java.time.Duration
import java.time.Instant
import java.time.InstantSource

/** Enough events to tell the pace of a stream long before its end. */
private const val PACE_EVENTS = 6

/**
 * Measures one attempt at an endpoint.
 *
 * @param blank the sample without measurements
 * @param timed false if the endpoint is known to be slow because it has just started
 * @param expectedPace how long work was expected to take at the endpoint, relative to usual
 */
class AttemptProbe(
    private val clock: InstantSource,
    private val blank: AttemptSample,
    private val timed: Boolean,
    expectedPace: Double = 1.0,
    private val report: (AttemptSample) -> Unit,
) {
    private val sentAt: Instant = clock.instant()
    private var firstEventAt: Instant? = null
    private var events = 0
    private var eventsAtFirst = 0
    private var timesReported = false

    /** Times are divided by it, so that a version is not blamed for a slow machine. */
    private var machinePace = PaceEstimator.bounded(expectedPace)

    /** Records how long work takes at the endpoint, relative to usual, as its response to this attempt tells. */
    fun recordMachinePace(pace: Double) {
        machinePace = PaceEstimator.bounded(pace)
    }

    /** Records that [count] events of a stream have arrived. */
    fun recordEvents(count: Int) {
        events += count
        if (firstEventAt == null) {
            firstEventAt = clock.instant()
            eventsAtFirst = events
        }
        if (!timesReported && events - eventsAtFirst >= PACE_EVENTS) {
            report(withTimes(blank, partial = false))
            timesReported = true
        }
    }

    /** Records the outcome of the attempt; null if its caller left before that. */
    fun end(outcome: AttemptOutcome?) {
        val result = if (outcome == null) AttemptResult.RESPONDING else outcome.toAttemptResult()
        val nothingNew = result == AttemptResult.RESPONDING && timesReported
        if (result != null && !nothingNew) {
            val ended = blank.copy(result = result, partial = result != AttemptResult.ANSWERED)
            report(if (timesReported) ended else withTimes(ended, ended.partial))
        }
    }

    /** Adds the times so far; those of a [partial] response are lower bounds. */
    private fun withTimes(sample: AttemptSample, partial: Boolean): AttemptSample {
        val now = clock.instant()
        val first = firstEventAt
        val intervals = events - eventsAtFirst + if (partial) 1 else 0
        return if (timed) {
            sample.copy(
                firstEvent = Duration.between(sentAt, first ?: now).atUsualPace(),
                pace = first?.takeIf { intervals > 0 }
                    ?.let { Duration.between(it, now).dividedBy(intervals.toLong()).atUsualPace() },
                partial = partial,
            )
        } else {
            sample
        }
    }

    private fun Duration.atUsualPace(): Duration =
        if (machinePace == 1.0) this else Duration.ofNanos((toNanos() / machinePace).toLong())
}
