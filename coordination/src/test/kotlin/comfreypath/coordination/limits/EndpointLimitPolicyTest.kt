package comfreypath.coordination.limits

import comfreypath.coordination.availability.Incarnation
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.ServiceName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant

class EndpointLimitPolicyTest {
    private val policy = EndpointLimitPolicy()
    private val start = Instant.ofEpochSecond(1_000)
    private val incarnation = incarnation("e", startedAt = 1)
    private val share = LimitShare.Rate(2.0)
    private var state = EndpointLimits()

    private fun incarnation(name: String, startedAt: Long?) =
        Incarnation(EndpointName(name), ServiceName("s"), "10.0.0.1", 80, startedAt)

    private fun at(milliseconds: Long): Instant = start.plusMillis(milliseconds)

    private fun apply(event: EndpointLimitEvent, milliseconds: Long): List<EndpointLimitChange> {
        val (next, changes) = policy.after(state, event, at(milliseconds))
        state = next
        return changes
    }

    private fun named(rate: Double, sent: Long, heard: Long) =
        apply(EndpointLimitEvent.RateNamed(incarnation, rate, at(sent)), heard)

    private fun notNamed(sent: Long, heard: Long) =
        apply(EndpointLimitEvent.NoRateNamed(incarnation, at(sent)), heard)

    private fun waitTime(milliseconds: Long, share: LimitShare = this.share, of: Incarnation = incarnation): Duration {
        state = policy.withShare(state, of, share, at(milliseconds))
        return policy.waitTime(state, of, share, at(milliseconds))
    }

    private val rate: Double? get() = state.byIncarnation[incarnation]?.rate

    @Test
    fun `an endpoint that names no rate takes any number of requests`() {
        expectThat(notNamed(sent = 0, heard = 10)).isEmpty()
        repeat(100) { apply(EndpointLimitEvent.Sent(incarnation, share), 10) }
        expectThat(waitTime(10)).isEqualTo(Duration.ZERO)
        expectThat(state.isEmpty).isTrue()
    }

    @Test
    fun `a router is bound from the response that names the rate, and saves up one request at most`() {
        named(4.3, sent = 0, heard = 10)
        expectThat(waitTime(10)).isGreaterThan(Duration.ofMillis(499)).isLessThanOrEqualTo(Duration.ofMillis(502))
        expectThat(waitTime(512)).isEqualTo(Duration.ZERO)
        expectThat(waitTime(3_600_000)).isEqualTo(Duration.ZERO)
        apply(EndpointLimitEvent.Sent(incarnation, share), 3_600_000)
        expectThat(waitTime(3_600_000)).isGreaterThan(Duration.ofMillis(499))
    }

    @Test
    fun `a response that names no rate ends the limit only if its request was sent after the rate was heard`() {
        named(4.3, sent = 0, heard = 10)
        expectThat(notNamed(sent = 5, heard = 20)).isEmpty()
        named(4.3, sent = 15, heard = 30)
        expectThat(notNamed(sent = 29, heard = 40)).isEmpty()
        expectThat(notNamed(sent = 31, heard = 50))
            .containsExactly(EndpointLimitChange.Ended(incarnation, 4.3, LimitEnd.NOT_NAMED))
        expectThat(waitTime(50)).isEqualTo(Duration.ZERO)
    }

    @Test
    fun `an older response does not raise the rate, and a lower one counts at once`() {
        named(4.0, sent = 0, heard = 10)
        expectThat(named(8.0, sent = 5, heard = 20)).isEmpty()
        expectThat(rate).isEqualTo(4.0)
        expectThat(named(2.0, sent = 5, heard = 30))
            .containsExactly(EndpointLimitChange.Limited(incarnation, 2.0, previous = 4.0))
        expectThat(named(4.0, sent = 20, heard = 40)).isEmpty()
        expectThat(named(4.0, sent = 31, heard = 50))
            .containsExactly(EndpointLimitChange.Limited(incarnation, 4.0, previous = 2.0))
    }

    @Test
    fun `a rate that changes little is adopted without a report`() {
        named(4.0, sent = 0, heard = 10)
        expectThat(named(4.1, sent = 20, heard = 30)).isEmpty()
        expectThat(rate).isEqualTo(4.1)
    }

    @Test
    fun `a router whose share shrinks or grows goes on with what it has saved up`() {
        named(4.0, sent = 0, heard = 0)
        expectThat(waitTime(0)).isGreaterThan(Duration.ofMillis(499))
        expectThat(waitTime(250)).isGreaterThan(Duration.ofMillis(249))
        expectThat(waitTime(250, LimitShare.Rate(1.0))).isGreaterThan(Duration.ofMillis(499))
        expectThat(waitTime(250, LimitShare.Rate(100.0))).isLessThanOrEqualTo(Duration.ofMillis(6))
    }

    @Test
    fun `a trial that is not made in its window is not made up for`() {
        named(4.0, sent = 0, heard = 0)
        val trials = LimitShare.Trials(Duration.ofSeconds(20), phase = 0.0)
        expectThat(start.toEpochMilli().mod(20_000L)).isEqualTo(0L)
        expectThat(waitTime(20_000, trials)).isEqualTo(Duration.ZERO)
        expectThat(waitTime(22_100, trials)).isEqualTo(Duration.ofMillis(17_900))
        expectThat(waitTime(40_500, trials)).isEqualTo(Duration.ZERO)
        apply(EndpointLimitEvent.Sent(incarnation, trials), 40_500)
        expectThat(waitTime(40_600, trials)).isEqualTo(Duration.ofMillis(19_400))
    }

    @Test
    fun `another start of the server, or another server at its address, has no limit`() {
        named(4.0, sent = 0, heard = 0)
        expectThat(waitTime(0, of = incarnation.copy(startedAt = 2))).isEqualTo(Duration.ZERO)
        expectThat(waitTime(0, of = incarnation.copy(name = EndpointName("f")))).isEqualTo(Duration.ZERO)
    }

    @Test
    fun `a limit outlasts an entry that is missing for a while, and ends ten minutes later`() {
        named(4.0, sent = 0, heard = 0)
        val gone = EndpointLimitEvent.EntriesSeen { false }
        expectThat(apply(gone, 1_000)).isEmpty()
        expectThat(apply(EndpointLimitEvent.EntriesSeen { true }, 2_000)).isEmpty()
        expectThat(apply(gone, 3_000)).isEmpty()
        expectThat(apply(gone, 602_000)).isEmpty()
        expectThat(apply(gone, 603_000))
            .containsExactly(EndpointLimitChange.Ended(incarnation, 4.0, LimitEnd.ENTRY_GONE))
        expectThat(rate).isNull()
    }

    @Test
    fun `the number of limits is bounded`() {
        val bounded = EndpointLimitPolicy(EndpointLimitOptions(maxLimits = 2))
        val all = listOf("a", "b", "c").map { incarnation(it, startedAt = 1) }
        var limits = EndpointLimits()
        val changes = all.flatMapIndexed { index, named ->
            val event = EndpointLimitEvent.RateNamed(named, 1.0, start)
            bounded.after(limits, event, at(index.toLong())).also { limits = it.first }.second
        }
        expectThat(limits.byIncarnation.keys.toSet()).isEqualTo(setOf(all[1], all[2]))
        expectThat(changes).contains(EndpointLimitChange.Ended(all[0], 1.0, LimitEnd.EVICTED))
    }

    @Test
    fun `rates of zero and beyond all measure bind too`() {
        named(0.0, sent = 0, heard = 0)
        expectThat(rate).isEqualTo(0.0)
        expectThat(waitTime(0, LimitShare.Rate(0.1)).isZero).isFalse()
        named(Double.MAX_VALUE, sent = 10, heard = 20)
        expectThat(rate).isEqualTo(EndpointLimitOptions().maxRate)
    }
}
