package comfreypath.coordination.rollout

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.time.Duration

private const val MAX_TYPICAL_BYTES = 400

class RolloutReportsSerializerTest {
    @Test
    fun `malformed reports are rejected`() {
        listOf("x", "1:", "1:-5:", "1:5:/", "1:5:/a:1:", "1:5:/a:1,-1:", "1:5:/a:1,!:").forEach { text ->
            expectThrows<SerializationException> { Json.decodeFromString<RolloutReports>("\"$text\"") }
        }
    }

    @Test
    fun `aspects that a newer router has added are ignored`() {
        val numbers = List(2 * VersionAspect.entries.size + 2) { "1" }.joinToString(",")
        val report = Json.decodeFromString<RolloutReports>("\"1:5:/a:$numbers:\"").reports.single()
        expectThat(report.routes.getValue(10).target.keys.sorted()).isEqualTo(VersionAspect.entries.sorted())
    }

    @Test
    fun `a report on a rollout of three routes takes a few hundred bytes`() {
        val tallies = VersionAspect.entries.associateWith { Tally(900, 90) }.toPersistentMap()
        val routes = (1..3).associate { Int.MAX_VALUE - it to RouteEvidence(tallies, tallies) }.toPersistentMap()
        val reports = RolloutReports(listOf(RolloutReport(Int.MAX_VALUE, Duration.ofSeconds(60), held = true, routes)))
        val text = Json.encodeToString(reports)
        expectThat(text.length).isLessThan(MAX_TYPICAL_BYTES)
        expectThat(Json.decodeFromString<RolloutReports>(text)).isEqualTo(reports)
        expectThat(Json.decodeFromString<RolloutReports>("\"\"")).isEqualTo(RolloutReports(emptyList()))
    }
}
