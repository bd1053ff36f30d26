package comfreypath.coordination.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.time.Instant

class PrefixSharesTest {
    private val now = Instant.ofEpochSecond(1_000)
    private val shares = PrefixShares()

    @Test
    fun `a popular prefix is spread over more endpoints the larger its share is`() {
        repeat(100) { shares.record(if (it % 4 == 0) POPULAR else it.toLong(), now) }
        expectThat(shares.copies(POPULAR, candidates = 12)).isEqualTo(2)
        expectThat(shares.copies(POPULAR, candidates = 42)).isEqualTo(7)
    }

    @Test
    fun `a prefix that came a few times, or never, has one endpoint`() {
        repeat(10) { shares.record(it.toLong() % 3, now) }
        expectThat(shares.copies(2, candidates = 42)).isEqualTo(1)
        expectThat(shares.copies(POPULAR, candidates = 42)).isEqualTo(1)
    }

    @Test
    fun `a prefix that is popular no longer gets one endpoint again`() {
        repeat(50) { shares.record(POPULAR, now) }
        repeat(50) { shares.record(it.toLong(), now.plusSeconds(6)) }
        expectThat(shares.copies(POPULAR, candidates = 42)).isEqualTo(1)
    }

    @Test
    fun `the requests with a popular prefix get as many keys as it has endpoints`() {
        val keys = (1L..500L).map { Placement.keyOf(POPULAR, copies = 3, salt = mix(it, 7)) }
        expectThat(keys.toSet().size).isEqualTo(3)
        expectThat(keys.count { it == POPULAR }).isGreaterThan(100)
    }

    private companion object {
        const val POPULAR = -5L
    }
}
