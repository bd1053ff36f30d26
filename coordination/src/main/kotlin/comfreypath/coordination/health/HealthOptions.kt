package comfreypath.coordination.health

import java.time.Duration

private const val HALF_LIFE_MILLISECONDS = 2_000L
private const val FAILURE_SHARE = 0.5
private const val LEAST_SAMPLES = 4.0
private const val CONSECUTIVE_LOSSES = 3
private const val CONSECUTIVE_SILENCES = 2
private const val FIRST_EJECTION_MILLISECONDS = 400L
private const val LONGEST_EJECTION_MILLISECONDS = 3_200L
private const val FULL_MILLISECONDS = 60L

/**
 * When an endpoint is left out, and for how long.
 *
 * @property halfLife the time in which what was seen counts half
 * @property failureRateThreshold the share of bad outcomes above which an endpoint is left out
 * @property minSamples the outcomes, counted with their age, below which the share says nothing
 * @property consecutiveLosses the lost answers in a row after which it is left out
 * @property consecutiveSilences the silences in a row after which it is left out
 * @property baseEjectionTime how long it is left out at first; each further time doubles it
 * @property maxEjectionTime the longest time for which it is left out
 * @property fullBackoff how long an endpoint that said it is full gets nothing
 */
data class HealthOptions(
    val halfLife: Duration = Duration.ofMillis(HALF_LIFE_MILLISECONDS),
    val failureRateThreshold: Double = FAILURE_SHARE,
    val minSamples: Double = LEAST_SAMPLES,
    val consecutiveLosses: Int = CONSECUTIVE_LOSSES,
    val consecutiveSilences: Int = CONSECUTIVE_SILENCES,
    val baseEjectionTime: Duration = Duration.ofMillis(FIRST_EJECTION_MILLISECONDS),
    val maxEjectionTime: Duration = Duration.ofMillis(LONGEST_EJECTION_MILLISECONDS),
    val fullBackoff: Duration = Duration.ofMillis(FULL_MILLISECONDS),
)
