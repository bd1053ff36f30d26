package comfreypath.daemon.measure

import comfreypath.transport.wireJson
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a renamed property that changes the report of the overhead measurement, which scripts read. */
class OverheadReportJsonTest {
    @Test
    fun `a report has these fields`() {
        val latency = """{"median":1.5,"at95":2.5,"at99":3.5}"""
        val cost = """{"whole":$latency,"firstPiece":$latency,"requestsPerSecond":400.5,""" +
            """"processorMicroseconds":90.5}"""
        val text = """{"direct":$cost,"throughRouter":$cost,"added":$latency,"addedToFirstPiece":$latency,""" +
            """"targetMilliseconds":2.5,"met":true}"""
        expectThat(wireJson.encodeToString(wireJson.decodeFromString<OverheadReport>(text))).isEqualTo(text)
    }
}
