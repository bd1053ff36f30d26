package comfreypath.measure

import kotlinx.serialization.Serializable

/**
 * The result of one measurement.
 *
 * @property steps the number of requests, runs or seconds, depending on the measurement
 * @property violations the number of violations of invariants
 * @property met true if there are no violations and all targets are met
 */
@Serializable
data class MeasureReport(
    val name: String,
    val seed: Long,
    val steps: Long,
    val violations: Long,
    val figures: List<Figure>,
    val targets: List<Target>,
    val met: Boolean,
) {
    companion object {
        /** Creates a report and derives [met] from the violations and targets. */
        fun of(
            name: String,
            options: MeasureOptions,
            violations: Long,
            figures: List<Figure>,
            targets: List<Target>,
        ): MeasureReport = MeasureReport(
            name = name,
            seed = options.seed,
            steps = options.steps,
            violations = violations,
            figures = figures,
            targets = targets,
            met = violations == 0L && targets.all { it.met },
        )
    }
}

/** A measured value with its unit. */
@Serializable
data class Figure(val name: String, val value: Double, val unit: String)

/** A stated target and the measured value that is compared with it. */
@Serializable
data class Target(val name: String, val value: Double, val limit: Double, val unit: String, val met: Boolean) {
    companion object {
        /** A target that is met if [value] does not exceed [limit]. */
        fun atMost(name: String, value: Double, limit: Double, unit: String) =
            Target(name, value, limit, unit, met = value <= limit)

        /** A target that is met if [value] is at least [limit]. */
        fun atLeast(name: String, value: Double, limit: Double, unit: String) =
            Target(name, value, limit, unit, met = value >= limit)
    }
}

/**
 * The parameters of one run of a measurement.
 *
 * @property steps the number of requests, runs or seconds, depending on the measurement
 */
data class MeasureOptions(val seed: Long, val steps: Long, val routers: Int, val endpoints: Int)

private const val ROUNDING_FACTOR = 10_000.0

/** Rounds [value] to four decimal places, so that equal runs print equal figures. */
internal fun rounded(value: Double): Double = kotlin.math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR
