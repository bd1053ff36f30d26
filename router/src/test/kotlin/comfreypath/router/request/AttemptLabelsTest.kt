package comfreypath.router.request

import comfreypath.coordination.verdict.AttemptOutcome
import comfreypath.coordination.verdict.RetryDecision
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder

/** Guards against a renamed class that changes a metric label or a log value, on which dashboards rely. */
class AttemptLabelsTest {
    private fun names(type: Class<*>): List<String> = type.permittedSubclasses.map { it.simpleName }

    @Test
    fun `the label outcome of attempts has these values`() {
        expectThat(names(AttemptOutcome::class.java))
            .containsExactlyInAnyOrder("NotSent", "Withheld", "NotRun", "WrongEndpoint", "Unknown", "Answered")
    }

    @Test
    fun `the log value action has these values`() {
        expectThat(names(RetryDecision::class.java))
            .containsExactlyInAnyOrder("TryAnother", "Deliver", "RefuseNotRun", "FailMayHaveRun")
    }
}
