package comfreypath.measure

import kotlinx.serialization.Serializable

/**
 * The result of one measurement.
 *
 * @property steps how many requests, runs or seconds it took, as its name says
 * @property violations how often something did not hold that must always hold
 * @property met true when nothing was violated and every target is met
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
        /** A report whose [met] follows from its violations and targets. */
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

/** A measured figure. */
@Serializable
data class Figure(val name: String, val value: Double, val unit: String)

/** A stated target, and the figure that is held against it. */
@Serializable
data class Target(val name: String, val value: Double, val limit: Double, val unit: String, val met: Boolean) {
    companion object {
        /** A target that the figure must not exceed. */
        fun atMost(name: String, value: Double, limit: Double, unit: String) =
            Target(name, value, limit, unit, met = value <= limit)

        /** A target that the figure must reach. */
        fun atLeast(name: String, value: Double, limit: Double, unit: String) =
            Target(name, value, limit, unit, met = value >= limit)
    }
}

/**
 * What a measurement is told.
 *
 * @property steps how many requests, runs or seconds, as the measurement's name says
 */
data class MeasureOptions(val seed: Long, val steps: Long, val routers: Int, val endpoints: Int)

private const val DIGITS = 10_000.0

/** [value] to four decimal places, so that equal runs print equal figures. */
internal fun rounded(value: Double): Double = kotlin.math.round(value * DIGITS) / DIGITS
