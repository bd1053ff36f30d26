package comfreypath.coordination.rollout

import java.time.Duration

private const val DEADLINE_MARGIN = 0.08
private const val DRAIN_FRACTION = 0.17
private const val RAMP_FRACTION = 0.12
private const val MIN_DEADLINE_MARGIN_MILLISECONDS = 1_200L
private const val MAX_DRAIN_SECONDS = 10L
private const val FULL_SHARE = 1.0

/** The part of the operators' share that is used, since routers count separately. */
private const val SHARE_UTILIZATION = 0.8
private const val RAMP_STEPS = 4
private const val RAMP_FACTOR = 2.0

/**
 * The share of a service's requests for the target version over the time of its rollout.
 *
 * The target gets a small share for most of the time, since it may turn bad late. Then the share doubles step by step
 * until it is full, and stays so until the requests in progress at the old endpoints have ended, since these stop when
 * the rollout is completed.
 */
class RolloutSchedule(private val bounds: RolloutBounds, duration: Duration) {
    private val margin = maxOf(Duration.ofMillis(MIN_DEADLINE_MARGIN_MILLISECONDS), duration * DEADLINE_MARGIN)
    private val drain = minOf(Duration.ofSeconds(MAX_DRAIN_SECONDS), duration * DRAIN_FRACTION)

    /** The age of the rollout at which it is completed. */
    val completeAt: Duration = maxOf(duration - margin, duration * (1 - DRAIN_FRACTION))

    /** The age from which a good target gets all requests. */
    val fullAt: Duration = completeAt - drain

    /** The age from which a good target gets more than the canary share. */
    val rampAt: Duration = fullAt - duration * RAMP_FRACTION

    /** The share of requests for the target while it is not known to be good. */
    val canaryShare: Double = bounds.share * SHARE_UTILIZATION

    /** The share of requests for a good target at [age]. */
    fun shareAt(age: Duration): Double = when {
        age < rampAt -> canaryShare
        age >= fullAt -> FULL_SHARE
        else -> {
            val progress = (age - rampAt).toMillis().toDouble() / (fullAt - rampAt).toMillis()
            val step = (progress * RAMP_STEPS).toInt() + 1
            (1..step).fold(canaryShare) { share, _ -> share * RAMP_FACTOR }.coerceAtMost(FULL_SHARE)
        }
    }

    private operator fun Duration.times(factor: Double): Duration = Duration.ofMillis((toMillis() * factor).toLong())
}
