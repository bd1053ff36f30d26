package comfreypath.coordination.claims

import comfreypath.coordination.claims.ClaimEraModelCheck.Rules
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class ClaimEraModelCheckTest {
    private val depth = 13

    private fun counterexample(rules: Rules, lostChanges: Long = 0, begun: Boolean = false): List<String>? =
        ClaimEraModelCheck(rules).also { it.explore(depth, lostChanges, begun) }.counterexample

    @Test
    fun `no order of events grants a key to two routers when the store comes back from a copy`() =
        listOf(0L to false, 1L to false, 1L to true).forEach { (lostChanges, begun) ->
            val check = ClaimEraModelCheck()
            check.explore(depth, lostChanges, begun)
            expectThat(check.counterexample).isNull()
            expectThat(check.visited).isGreaterThan(5_000)
        }

    @Test
    fun `the check detects a router that does not wait for the claims of the other`() {
        expectThat(counterexample(Rules(waitsForOthers = false))).isNotNull()
    }

    @Test
    fun `the check detects a router that does not write its claims again`() {
        expectThat(counterexample(Rules(remembersOwn = false))).isNotNull()
    }

    @Test
    fun `the check detects a late write of an earlier era that replaces a claim of a later one`() {
        expectThat(counterexample(Rules(objectPerEra = false), lostChanges = 1, begun = true)).isNotNull()
    }

    @Test
    fun `the check detects a router that believes answers of an earlier era`() {
        expectThat(counterexample(Rules(checksEra = false))).isNotNull()
    }
}
