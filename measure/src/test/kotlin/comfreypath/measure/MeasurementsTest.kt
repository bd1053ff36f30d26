package comfreypath.measure

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against violations in short runs, and against output that differs between runs with the same seed. */
class MeasurementsTest {
    private val steps = mapOf(
        "at-most-once" to 2_000L,
        "control-traffic" to 20L,
    )

    private fun run(measurement: Measurement): MeasureReport = measurement.run(
        MeasureOptions(seed = 7, steps.getValue(measurement.name), measurement.routers, measurement.endpoints),
    )

    @Test
    fun `short runs report no violations`() {
        measurements.forEach { expectThat(run(it)).get { violations }.isEqualTo(0) }
    }

    @Test
    fun `runs with the same seed have the same output`() {
        measurements.forEach { measurement ->
            val first = Json.encodeToString(run(measurement))
            expectThat(Json.encodeToString(run(measurement))).isEqualTo(first)
        }
    }
}
