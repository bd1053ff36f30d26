package comfreypath.coordination.endpointload

import java.time.Duration
import java.time.Instant
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

private const val MIN_PACE = 0.2
private const val MAX_PACE = 5.0

/** The pace from which an endpoint counts as slow. */
private const val SLOW_PACE = 1.5

/** The variance of a figure around the level of its spell. */
private const val FIGURE_VARIANCE = 0.01

/** The variance that is assumed of an endpoint that has told nothing yet. */
private const val PRIOR_VARIANCE = 0.05

/** The independent figures that the usual pace and [PRIOR_VARIANCE] are worth. */
private const val PRIOR_WEIGHT = 4.0

/** The independent figures over which the long-run mean reaches back. */
private const val MAX_WEIGHT = 100.0

/** A figure moves the estimate as if it were no further away than this, in standard deviations. */
private const val MAX_DEVIATIONS = 3.0

private const val PRIOR_FADING_MILLISECONDS = 500.0
private const val MIN_FADING_MILLISECONDS = 50.0
private const val MAX_FADING_MILLISECONDS = 10_000.0
private const val FADING_LEARNING_RATE = 0.05

/** The longest step of the fading time for one figure, as a natural logarithm. */
private const val MAX_FADING_STEP = 0.2

/**
 * What is known of the pace of one endpoint. Paces are relative to usual: work takes twice as long at 2.
 *
 * @property mean the mean of the long run
 * @property variance the variance of the level around [mean]
 * @property slowShare the share of time at which the endpoint is slow, from 0 to 1
 * @property weight the number of independent figures that these three stand for
 * @property level the estimate at [observedAt]
 * @property levelVariance the variance of the error of [level]
 * @property fadingMilliseconds the time in which the deviation of the level from the mean falls to 1/e
 * @property observedAt when the last figure arrived; null before the first one
 */
data class EndpointPace(
    val mean: Double = 1.0,
    val variance: Double = PRIOR_VARIANCE,
    val slowShare: Double = 0.0,
    val weight: Double = PRIOR_WEIGHT,
    val level: Double = 1.0,
    val levelVariance: Double = PRIOR_VARIANCE,
    val fadingMilliseconds: Double = PRIOR_FADING_MILLISECONDS,
    val observedAt: Instant? = null,
) {
    /** The share of the deviation at [observedAt] that is left at [now]. */
    internal fun remaining(now: Instant): Double =
        observedAt?.let { exp(-millisecondsBetween(it, now) / fadingMilliseconds) } ?: 0.0

    /** The estimate of the pace at [now]. */
    fun at(now: Instant): Double = mean + (level - mean) * remaining(now)

    /** The standard deviation of the error of the estimate at [now]. */
    fun spread(now: Instant): Double = sqrt(predictedVariance(remaining(now)))

    /** The expected mean pace of work that begins at [now] and takes [work]; [work] is null if not known. */
    fun during(work: Duration?, now: Instant): Double {
        val lengths = (work?.toMillis() ?: 0) / fadingMilliseconds
        val share = if (lengths > 0) (1 - exp(-lengths)) / lengths else 1.0
        return mean + (level - mean) * remaining(now) * share
    }

    internal fun predictedVariance(remaining: Double): Double =
        variance + (levelVariance - variance) * remaining * remaining
}

/**
 * Estimates the pace of an endpoint from the figures in its responses.
 *
 * Load pattern: servers share their machines with others and are slow in spells of some hundred milliseconds, while a
 * router hears a server several times a second or once in ten seconds. The level of a spell is taken for a process that
 * returns to its mean (Ornstein and Uhlenbeck, 1930) and is observed with noise, and is estimated by a Kalman filter: a
 * figure counts the more, the less is known, and what it has told fades. The mean, the variance and the time of fading
 * are learned for each endpoint; figures close to each other count as one.
 */
object PaceEstimator {
    /** The pace that [figure] stands for: within the bounds in which paces change decisions. */
    fun bounded(figure: Double): Double = figure.coerceIn(MIN_PACE, MAX_PACE)

    /** True if [figure], which arrives at [now], is further away than [state] lets expect. */
    fun jumps(state: EndpointPace, figure: Double, now: Instant): Boolean =
        abs(bounded(figure) - state.at(now)) > maxDeviation(state, now)

    /** The state after an endpoint has told [figure] in a response that arrived at [now]. */
    fun observed(state: EndpointPace, figure: Double, now: Instant): EndpointPace {
        val remaining = state.remaining(now)
        val predicted = state.at(now)
        val limit = maxDeviation(state, now)
        val error = bounded(figure) - predicted
        val innovation = error.coerceIn(-limit, limit)
        val uncertainty = state.predictedVariance(remaining)
        val gain = uncertainty / (uncertainty + FIGURE_VARIANCE)
        return longRun(state, predicted + innovation, independence = 1 - remaining).copy(
            level = predicted + gain * innovation,
            levelVariance = (1 - gain) * uncertainty,
            fadingMilliseconds = fading(state, error, remaining, now),
            observedAt = now,
        )
    }

    /** The mean, the variance and the share of slow time after a figure that is worth [independence] figures. */
    private fun longRun(state: EndpointPace, figure: Double, independence: Double): EndpointPace {
        val weight = minOf(state.weight + independence, MAX_WEIGHT)
        val step = independence / weight
        val deviation = figure - state.mean
        val slow = if (figure >= SLOW_PACE) 1.0 else 0.0
        return state.copy(
            mean = state.mean + step * deviation,
            variance = state.variance + step * (deviation * deviation - FIGURE_VARIANCE - state.variance)
                .coerceAtLeast(-state.variance),
            slowShare = state.slowShare + step * (slow - state.slowShare),
            weight = weight,
        )
    }

    /** A step along the gradient of the squared error of the prediction, in the logarithm of the fading time. */
    private fun fading(state: EndpointPace, error: Double, remaining: Double, now: Instant): Double {
        val observedAt = state.observedAt ?: return state.fadingMilliseconds
        val age = millisecondsBetween(observedAt, now)
        val slope = (state.level - state.mean) * remaining * age / state.fadingMilliseconds
        val step = FADING_LEARNING_RATE * error * slope / (state.variance + FIGURE_VARIANCE)
        val next = ln(state.fadingMilliseconds) + step.coerceIn(-MAX_FADING_STEP, MAX_FADING_STEP)
        return exp(next).coerceIn(MIN_FADING_MILLISECONDS, MAX_FADING_MILLISECONDS)
    }

    private fun maxDeviation(state: EndpointPace, now: Instant): Double =
        MAX_DEVIATIONS * sqrt(state.predictedVariance(state.remaining(now)) + FIGURE_VARIANCE)
}

private fun millisecondsBetween(from: Instant, to: Instant): Double =
    Duration.between(from, to).toMillis().coerceAtLeast(0).toDouble()
