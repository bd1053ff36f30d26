package comfreypath.coordination.health

import java.time.Duration

private const val HALF_LIFE_MILLISECONDS = 2_000L
private const val FAILURE_RATE_THRESHOLD = 0.5
private const val MIN_SAMPLES = 4.0
private const val CONSECUTIVE_LOSSES = 3
private const val CONSECUTIVE_SILENCES = 2
private const val BASE_EJECTION_MILLISECONDS = 400L
private const val MAX_EJECTION_MILLISECONDS = 3_200L
private const val FULL_BACKOFF_MILLISECONDS = 60L

/**
 * When an endpoint is ejected, and for how long.
 *
 * @property halfLife the time after which the weight of an outcome has halved
 * @property failureRateThreshold the failure rate, from 0 to 1, above which an endpoint is ejected
 * @property minSamples the weighted number of outcomes below which the failure rate is not considered
 * @property consecutiveLosses the number of lost responses without a response in between that leads to ejection
 * @property consecutiveSilences the number of silences without a response in between that leads to ejection
 * @property baseEjectionTime the duration of the first ejection; each further ejection in a row doubles it
 * @property maxEjectionTime the maximum duration of an ejection
 * @property fullBackoff how long an endpoint gets no requests after it has reported that it is full
 */
data class HealthOptions(
    val halfLife: Duration = Duration.ofMillis(HALF_LIFE_MILLISECONDS),
    val failureRateThreshold: Double = FAILURE_RATE_THRESHOLD,
    val minSamples: Double = MIN_SAMPLES,
    val consecutiveLosses: Int = CONSECUTIVE_LOSSES,
    val consecutiveSilences: Int = CONSECUTIVE_SILENCES,
    val baseEjectionTime: Duration = Duration.ofMillis(BASE_EJECTION_MILLISECONDS),
    val maxEjectionTime: Duration = Duration.ofMillis(MAX_EJECTION_MILLISECONDS),
    val fullBackoff: Duration = Duration.ofMillis(FULL_BACKOFF_MILLISECONDS),
)
