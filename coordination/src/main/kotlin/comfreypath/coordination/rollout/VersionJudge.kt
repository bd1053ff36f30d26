package comfreypath.coordination.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.math.ln

private const val BASELINE_WINDOW = 200.0
private const val BASELINE_PRIOR_SAMPLES = 5.0
private const val MAX_RATE = 0.95
private const val HALF = 0.5
private const val BAD_SCORE = 10.0
private const val SUSPECT_SCORE = 4.0
private const val MIN_RESPONSES = 10

/** What the evidence so far says about the target version of a rollout. */
enum class VersionVerdict {
    /** Too few responses to tell. */
    UNDECIDED,

    /** As good as the versions before. */
    GOOD,

    /** Probably worse, but not certainly. */
    SUSPECT,

    /** Worse. */
    BAD,
}

/**
 * Rate of bad samples of the versions before, over a window of about the last 200 samples.
 *
 * @property samples the number of samples, with weights that decrease with each later sample
 * @property bad the number of bad samples, with the same weights
 */
data class BaselineRate(val samples: Double = 0.0, val bad: Double = 0.0) {
    /** The rate after [tally]. */
    fun with(tally: Tally): BaselineRate {
        val next = BaselineRate(samples + tally.samples, bad + tally.bad)
        return if (next.samples > BASELINE_WINDOW) BaselineRate(next.samples * HALF, next.bad * HALF) else next
    }

    /** The rate that is expected of the target, at least [floor]. */
    fun expected(floor: Double): Double =
        maxOf(floor, (bad + floor * BASELINE_PRIOR_SAMPLES) / (samples + BASELINE_PRIOR_SAMPLES))
}

/**
 * Identifies a chart.
 *
 * @property route the key of the route; null for all routes together
 */
data class ChartKey(val route: Int?, val aspect: VersionAspect)

/**
 * The evidence on a version, merged from all routers.
 *
 * @property scores the score of each chart: how much more likely the latest samples are for a bad version, as the
 * natural logarithm
 * @property responses the number of responses of the target, good or bad
 */
data class JudgeState(
    val scores: PersistentMap<ChartKey, Double> = persistentMapOf(),
    val baselines: PersistentMap<ChartKey, BaselineRate> = persistentMapOf(),
    val responses: Int = 0,
) {
    /** The chart with the highest score. */
    val worst: Map.Entry<ChartKey, Double>? get() = scores.maxByOrNull { it.value }

    /** The verdict on the evidence so far. */
    val verdict: VersionVerdict
        get() {
            val score = worst?.value ?: 0.0
            return when {
                score >= BAD_SCORE -> VersionVerdict.BAD
                score >= SUSPECT_SCORE -> VersionVerdict.SUSPECT
                responses < MIN_RESPONSES -> VersionVerdict.UNDECIDED
                else -> VersionVerdict.GOOD
            }
        }
}

/**
 * Compares a version with the versions before by cumulative sums (Page, 1954), one for each route and aspect and one
 * for all routes.
 *
 * Each sample adds the logarithm of the ratio of its probabilities for a bad and for a good version, and a sum never
 * falls below zero. Therefore a version that turns bad late is found as fast as one that is bad from the start.
 */
object VersionJudge {
    /** The state after the samples in [evidence] on [route] were added. */
    fun add(state: JudgeState, route: Int, evidence: RouteEvidence): JudgeState {
        val baselines = evidence.baseline.entries.fold(state.baselines) { rates, (aspect, tally) ->
            val key = ChartKey(route, aspect)
            rates.put(key, (rates[key] ?: BaselineRate()).with(tally))
        }
        val scores = evidence.target.entries.fold(state.scores) { scores, (aspect, tally) ->
            val rate = baselines[ChartKey(route, aspect)] ?: BaselineRate()
            val gain = logLikelihoodRatio(tally, aspect, rate)
            listOf(ChartKey(route, aspect), ChartKey(null, aspect)).fold(scores) { sums, key ->
                sums.put(key, maxOf(0.0, (sums[key] ?: 0.0) + gain))
            }
        }
        return JudgeState(scores, baselines, state.responses + (evidence.target[VersionAspect.FAILED]?.samples ?: 0))
    }

    private fun logLikelihoodRatio(tally: Tally, aspect: VersionAspect, baseline: BaselineRate): Double {
        val good = baseline.expected(aspect.baselineFloor).coerceAtMost(MAX_RATE - aspect.effect)
        val bad = good + aspect.effect
        return tally.bad * ln(bad / good) + (tally.samples - tally.bad) * ln((1 - bad) / (1 - good))
    }
}
