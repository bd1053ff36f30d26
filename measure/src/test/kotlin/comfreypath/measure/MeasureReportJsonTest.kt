package comfreypath.measure

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a renamed property that changes the report printed for scripts to read. */
class MeasureReportJsonTest {
    @Test
    fun `a report has this text`() {
        val report = MeasureReport.of(
            name = "control-traffic",
            options = MeasureOptions(seed = 7, steps = 20, routers = 9, endpoints = 12),
            violations = 0,
            figures = listOf(Figure("time", value = 1.5, unit = "ms")),
            targets = listOf(
                Target.atMost("time", value = 1.5, limit = 2.0, unit = "ms"),
                Target.atLeast("status", value = 0.5, limit = 1.0, unit = "1/s"),
            ),
        )
        expectThat(Json.encodeToString(report)).isEqualTo(
            """{"name":"control-traffic","seed":7,"steps":20,"violations":0,""" +
                """"figures":[{"name":"time","value":1.5,"unit":"ms"}],""" +
                """"targets":[{"name":"time","value":1.5,"limit":2.0,"unit":"ms","met":true},""" +
                """{"name":"status","value":0.5,"limit":1.0,"unit":"1/s","met":false}],"met":false}""",
        )
    }
}
