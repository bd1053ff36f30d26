package comfreypath.coordination.fleet

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class FreshnessModelCheckTest {
    private val depth = 7

    @Test
    fun `no order of messages, suspensions and changes dates a confirmation too late`() {
        val check = FreshnessModelCheck { confirmedAt, _, _ -> confirmedAt }
        check.explore(depth)
        expectThat(check.counterexample).isNull()
        expectThat(check.visited).isGreaterThan(50_000L)
    }

    @Test
    fun `the check detects a protocol that dates confirmations by their arrival`() {
        val check = FreshnessModelCheck { _, now, age -> now.minusMillis(age) }
        check.explore(depth)
        expectThat(check.counterexample).isNotNull()
    }
}
