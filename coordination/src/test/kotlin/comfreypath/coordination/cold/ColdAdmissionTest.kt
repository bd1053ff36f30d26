package comfreypath.coordination.cold

import comfreypath.coordination.limits.TokenBucket
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.time.Instant

private const val RATE = 20.0
private const val BOUND_PER_SECOND = RATE * 1.5 + 5

class ColdAdmissionTest {
    private val admission = ColdAdmission()
    private val start = Instant.ofEpochSecond(1_000)

    private fun names(count: Int) = (1..count).map { InstanceName("router-$it") }

    /**
     * The requests that routers send in one second if each gets one every millisecond.
     *
     * @param views the live routers as seen by each router
     */
    private fun sentInOneSecond(endpoint: EndpointName, views: Map<InstanceName, Collection<InstanceName>>): Int =
        views.entries.sumOf { (self, live) ->
            var bucket: TokenBucket? =
                admission.bucket(null, admission.ownRate(endpoint, RATE, self, live), start.minusSeconds(1))
            (0 until 1_000).count { millisecond ->
                val now = start.plusMillis(millisecond.toLong())
                val allowed = (bucket?.available(now) ?: 0.0) >= 1.0
                if (allowed) bucket = bucket?.acquire(now)
                allowed
            }
        }

    @Property(tries = 100)
    fun `all routers together stay within the bound, regardless of their number`(
        @ForAll @IntRange(min = 1, max = 400) routers: Int,
        @ForAll @IntRange(min = 1, max = 50) endpoint: Int,
    ) {
        val all = names(routers)
        val sent = sentInOneSecond(EndpointName("engine-$endpoint"), all.associateWith { all })
        expectThat(sent.toDouble()).isLessThanOrEqualTo(BOUND_PER_SECOND)
        expectThat(sent).isGreaterThan(0)
    }

    @Property(tries = 100)
    fun `the bound holds while each half of the fleet considers the other half dead`(
        @ForAll @IntRange(min = 2, max = 100) routers: Int,
        @ForAll @IntRange(min = 1, max = 50) endpoint: Int,
    ) {
        val all = names(routers)
        val (first, second) = all.partition { it.hashCode() % 2 == 0 }
        val views = all.associateWith { if (it in first) first else second }
        val sent = sentInOneSecond(EndpointName("engine-$endpoint"), views)
        expectThat(sent.toDouble()).isLessThanOrEqualTo(BOUND_PER_SECOND)
    }

    @Test
    fun `only the selected routers send requests`() {
        val all = names(50)
        val senders = all.filter { admission.ownRate(EndpointName("engine-1"), RATE, it, all) > 0.0 }
        expectThat(senders.size).isLessThanOrEqualTo(5)
    }
}
