package comfreypath.coordination.placement

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class RendezvousHashingTest {
    private fun of(names: List<String>) = RendezvousHashing(names) { it }

    @Property(seed = "1")
    fun `removing a candidate moves only the keys that it had`(
        @ForAll @IntRange(min = 2, max = 30) count: Int,
        @ForAll key: Long,
    ) {
        val names = (1..count).map { "candidate-$it" }
        val before = of(names).top(key, count) { true }
        val removed = before.last()
        val after = of(names - removed).top(key, count) { true }
        expectThat(after).isEqualTo(before - removed)
    }

    @Property(seed = "1")
    fun `the top candidates are the start of the whole ranking`(@ForAll key: Long) {
        val all = of((1..40).map { "candidate-$it" })
        expectThat(all.top(key, 4) { true }).isEqualTo(all.top(key, 40) { true }.take(4))
    }

    @Test
    fun `keys are spread evenly`() {
        val all = of((1..10).map { "candidate-$it" })
        val counts = (1L..20_000L).groupingBy { all.first(mix(it, 1)) }.eachCount()
        expectThat(counts.values.min()).isGreaterThan(1_800)
        expectThat(counts.values.max()).isLessThan(2_200)
    }
}
