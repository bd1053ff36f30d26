package comfreypath.router.store

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder

/** Guards against a renamed class or property that changes the label `outcome` of store calls, or log lines. */
class StoreErrorTextTest {
    @Test
    fun `the label outcome of failed store calls has these values`() {
        expectThat(StoreError::class.java.permittedSubclasses.map { it.simpleName })
            .containsExactlyInAnyOrder("Conflict", "HistoryGone", "Refused", "Unreachable", "OutcomeUnknown")
    }

    @Test
    fun `errors of the store in log lines have these texts`() {
        val errors = listOf(
            StoreError.Conflict,
            StoreError.HistoryGone,
            StoreError.Refused(503),
            StoreError.Unreachable("no connection"),
            StoreError.OutcomeUnknown("timed out"),
        )
        expectThat(errors.map { it.toString() }).containsExactly(
            "Conflict",
            "HistoryGone",
            "Refused(status=503)",
            "Unreachable(reason=no connection)",
            "OutcomeUnknown(reason=timed out)",
        )
    }
}
