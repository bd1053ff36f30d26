package comfreypath.measure

/**
 * A measurement by name.
 *
 * @property steps the number of steps when none is given
 * @property routers the number of routers when none is given
 * @property endpoints the number of endpoints when none is given
 */
data class Measurement(
    val name: String,
    val steps: Long,
    val routers: Int = 9,
    val endpoints: Int = 12,
    val run: (MeasureOptions) -> MeasureReport,
)
