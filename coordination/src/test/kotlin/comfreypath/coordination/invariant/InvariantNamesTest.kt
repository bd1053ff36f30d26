package comfreypath.coordination.invariant

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly

/** Guards against a changed name under which alerts and log searches find violations of an invariant. */
class InvariantNamesTest {
    @Test
    fun `each invariant has this name in metrics and logs`() {
        expectThat(Invariant.entries.map { it.text }).containsExactly(
            "data_centre_out",
            "endpoint_leaving",
            "at_most_once",
            "not_run_is_true",
            "own_answer",
            "graceful_stop",
            "configuration_forward",
        )
    }
}
