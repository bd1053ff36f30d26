package comfreypath.router.view

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class RemovalLogTest {
    private val log = RemovalLog(capacity = 3).apply { reset(10) }

    @Test
    fun `removals after a revision are returned in order`() {
        log.add("a", 11)
        log.add("b", 12)
        expectThat(log.since(10)).isNotNull().containsExactly("a", "b")
        expectThat(log.since(11)).isNotNull().containsExactly("b")
        expectThat(log.since(12)).isNotNull().isEmpty()
    }

    @Test
    fun `removals before the first list are unknown`() {
        expectThat(RemovalLog().since(0)).isNull()
        expectThat(log.since(9)).isNull()
    }

    @Test
    fun `removals are unknown for a revision whose removals were dropped`() {
        listOf("a", "b", "c", "d").forEachIndexed { index, name -> log.add(name, 11L + index) }
        expectThat(log.since(10)).isNull()
        expectThat(log.since(11)).isNotNull().containsExactly("b", "c", "d")
    }
}
