package comfreypath.coordination.verdict

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.time.Duration

/** Guards against a renamed class, property or constant that changes the outcomes in log lines. */
class AttemptOutcomeTextTest {
    private fun texts(vararg outcomes: AttemptOutcome): List<String> = outcomes.map { it.toString() }

    @Test
    fun `outcomes of attempts that did not run have these texts`() {
        val texts = texts(
            AttemptOutcome.NotSent("connection refused"),
            AttemptOutcome.NotRun(503, Duration.ofMillis(350)),
            AttemptOutcome.NotRun(429, null),
            AttemptOutcome.WrongEndpoint,
            AttemptOutcome.Withheld,
        )
        expectThat(texts).containsExactly(
            "NotSent(reason=connection refused)",
            "NotRun(status=503, retryAfter=PT0.35S)",
            "NotRun(status=429, retryAfter=null)",
            "WrongEndpoint",
            "Withheld",
        )
    }

    @Test
    fun `outcomes of attempts whose result is unknown have these texts`() {
        expectThat(texts(*UnknownReason.entries.map { AttemptOutcome.Unknown(it) }.toTypedArray())).containsExactly(
            "Unknown(reason=CONNECTION_LOST)",
            "Unknown(reason=MALFORMED)",
            "Unknown(reason=FRAMING_TOO_LONG)",
            "Unknown(reason=TOO_MANY_INTERIM_RESPONSES)",
            "Unknown(reason=TOO_MUCH_FOREIGN)",
            "Unknown(reason=UNIDENTIFIED_REFUSAL)",
            "Unknown(reason=UNMARKED_REFUSAL)",
            "Unknown(reason=BODY_TOO_LONG)",
            "Unknown(reason=OUT_OF_MEMORY)",
            "Unknown(reason=EVENT_TOO_LONG)",
            "Unknown(reason=TRUNCATED)",
            "Unknown(reason=NO_CONTINUATION)",
            "Unknown(reason=STALLED)",
            "Unknown(reason=SLOW)",
            "Unknown(reason=TIMED_OUT)",
        )
    }

    @Test
    fun `the outcome of an answered attempt has this text`() {
        expectThat(AttemptOutcome.Answered(200).toString()).isEqualTo("Answered(status=200)")
    }
}
