package comfreypath.coordination.limits

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.DoubleRange
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class LimitSharesTest {
    private val shares = LimitShares()

    private fun names(count: Int) = (1..count).map { InstanceName("router-$it") }

    private fun known(self: InstanceName, all: List<InstanceName>, settled: Boolean = true) =
        KnownRouters(self, all.toSet() - self, all.toSet(), settled)

    private fun rates(endpoint: String, rate: Double, all: List<InstanceName>) = all.mapNotNull {
        shares.of(EndpointName(endpoint), rate, known(it, all)) as? LimitShare.Rate
    }

    @Property(tries = 100)
    fun `the shares of all routers add up to at most the rate, and their saved requests to the tolerance`(
        @ForAll @IntRange(min = 1, max = 400) routers: Int,
        @ForAll @DoubleRange(min = 0.1, max = 200.0) rate: Double,
    ) {
        val senders = rates("engine-1", rate, names(routers))
        expectThat(senders.sumOf { it.perSecond }).isLessThanOrEqualTo(rate * ROUNDING)
        expectThat(senders.size.toDouble()).isLessThanOrEqualTo(2 * rate + 5)
    }

    @Test
    fun `a router that has heard from no other yet does not take the whole rate`() {
        val all = names(9)
        val alone = KnownRouters(all[0], live = emptySet(), registered = all.toSet(), settled = false)
        expectThat(shares.of(EndpointName("e"), 4.0, alone))
            .isEqualTo(shares.of(EndpointName("e"), 4.0, known(all[0], all)))
    }

    @Test
    fun `a router that has lost all others keeps to a share`() {
        val all = names(9)
        val cut = KnownRouters(all[0], live = emptySet(), registered = all.toSet(), settled = true)
        val share = shares.of(EndpointName("e"), 4.0, cut)
        expectThat(share).isA<LimitShare.Rate>().get { perSecond }.isLessThanOrEqualTo(4.0 / shares.maxSenders(4.0))
    }

    @Test
    fun `the only router gets the whole rate`() {
        expectThat(rates("e", 4.0, names(1))).isEqualTo(listOf(LimitShare.Rate(4.0)))
    }

    private companion object {
        const val ROUNDING = 1.000001
    }
}
