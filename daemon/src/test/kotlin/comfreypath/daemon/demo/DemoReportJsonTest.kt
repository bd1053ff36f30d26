package comfreypath.daemon.demo

import comfreypath.transport.wireJson
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a renamed property that changes the last line of the demo, which scripts read. */
class DemoReportJsonTest {
    @Test
    fun `a report has these fields`() {
        val text = """{"sent":1,"answered":2,"refusedNotRun":3,"mayHaveRun":4,"lost":5,"crossed":6,""" +
            """"duplicateRuns":7,"cacheReuse":0.8,"maxToMeanLoad":1.25,""" +
            """"controlBytesPerSecondPerRouter":10.5,"violations":11}"""
        val report = DemoReport(1, 2, 3, 4, 5, 6, 7, 0.8, 1.25, 10.5, 11)
        expectThat(wireJson.encodeToString(report)).isEqualTo(text)
    }
}
