package comfreypath.coordination.evidence

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Duration

/** Guards against a changed text that routers of another version could no longer read. */
class PartReportTest {
    private val full = PartReport(
        part = -1,
        crashes = listOf(ReportedCrash(35, Duration.ofMillis(36)), ReportedCrash(-36, Duration.ofMillis(1_296))),
        answeredAge = Duration.ofMillis(37),
        quarantine = ReportedQuarantine(Duration.ofMinutes(10), failures = 1),
    )
    private val texts = mapOf(
        full to "\"3w5e11264sgsf:z.10,-10.100:11:cuyo.1\"",
        PartReport(part = 36) to "\"10:::\"",
    )

    @Test
    fun `a report has this text`() = texts.forEach { (report, text) ->
        expectThat(Json.encodeToString(report)).isEqualTo(text)
    }

    @Test
    fun `a report is read from this text`() = texts.forEach { (report, text) ->
        expectThat(Json.decodeFromString<PartReport>(text)).isEqualTo(report)
    }

    @Test
    fun `malformed reports are an error`() =
        listOf("", "10", "10::", "?:::", "10:1:::", "10:1.?::", "10::?:", "10:::5", "10::-1:", "10::zzzzzzzzz:")
            .forEach { malformed ->
                assertThrows<SerializationException>(malformed) { Json.decodeFromString<PartReport>("\"$malformed\"") }
            }
}
