package comfreypath.router.telemetry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Instant
import java.time.InstantSource

class ThrottledLogTest {
    private var now = Instant.parse("2026-12-07T12:00:00Z")
    private val lines = mutableListOf<String>()
    private val log = ThrottledLog(InstantSource { now }) { event, fields -> lines += "$event ${fields.toMap()}" }

    @Test
    fun `a line a second is written for each kind, with the number of events since the one before`() {
        repeat(5) { log.record("refused", "a", "reason" to "a$it") }
        log.record("refused", "b", "reason" to "b")
        now = now.plusSeconds(1)
        repeat(2) { log.record("refused", "a", "reason" to "later") }
        expectThat(lines.toList()).isEqualTo(
            listOf(
                "refused {count=1, reason=a0}",
                "refused {count=1, reason=b}",
                "refused {count=5, reason=later}",
            ),
        )
    }

    @Test
    fun `the number of kinds is bounded`() {
        repeat(2_000) { log.record("refused", "kind-$it") }
        expectThat(log.kindCount).isEqualTo(256)
    }
}
