package comfreypath.coordination.facts

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import java.time.Instant

class HeldObjectsTest {
    private val now = Instant.parse("2026-01-01T00:00:00Z")
    private val held = HeldObjects().listed(setOf("a", "b"), listed = setOf("b"), newEra = true, now)

    @Test
    fun `an order that a copy of the store lacks is held until the store has it again`() {
        expectThat(held.names).containsExactly("a")
        expectThat(held.listed(setOf("a", "b"), setOf("b"), newEra = false, now).names).containsExactly("a")
        expectThat(held.listed(setOf("a", "b"), setOf("a", "b"), newEra = false, now).names).isEmpty()
        expectThat(held.without("a").names).isEmpty()
    }

    @Test
    fun `an order that is removed in one era is not held`() {
        expectThat(HeldObjects().listed(setOf("a"), emptySet(), newEra = false, now).names).isEmpty()
    }

    @Test
    fun `an order is held for a limited time, also if the store comes back again`() {
        val again = held.listed(setOf("a", "b"), setOf("b"), newEra = true, now.plusSeconds(50))
        expectThat(again.recent(now.plusSeconds(59)).names).containsExactly("a")
        expectThat(again.recent(now.plusSeconds(60)).names).isEmpty()
    }
}
