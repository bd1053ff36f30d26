package comfreypath.coordination.health

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly

/** Guards against a renamed constant that changes the value `evidence` of log lines about ejected endpoints. */
class HealthEvidenceNamesTest {
    @Test
    fun `evidence in a log line has these names`() {
        expectThat(HealthEvidence.entries.map { it.toString() })
            .containsExactly("ANSWERED", "FAILED", "LOST", "SILENT", "UNREACHABLE", "FULL")
    }
}
