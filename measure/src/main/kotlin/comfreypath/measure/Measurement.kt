package comfreypath.measure

/**
 * A measurement that can be selected by name, with its defaults.
 *
 * @property steps the default number of steps
 * @property routers the default number of routers
 * @property endpoints the default number of endpoints
 */
data class Measurement(
    val name: String,
    val steps: Long,
    val routers: Int = 9,
    val endpoints: Int = 12,
    val run: (MeasureOptions) -> MeasureReport,
)
