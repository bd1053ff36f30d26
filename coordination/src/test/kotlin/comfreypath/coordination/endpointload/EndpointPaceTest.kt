package comfreypath.coordination.endpointload

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant
import java.util.Random
import kotlin.math.abs
import kotlin.math.pow

class EndpointPaceTest {
    private val start: Instant = Instant.parse("2026-01-01T00:00:00Z")

    private fun after(state: EndpointPace, vararg figures: Pair<Int, Double>) =
        figures.fold(state) { known, (at, figure) -> PaceEstimator.observed(known, figure, start + ms(at)) }

    private fun ms(time: Int): Duration = Duration.ofMillis(time.toLong())

    /** The figures of a machine that is 2.5 times slower for 15 in 100 of the time, in spells of 600 ms. */
    private fun noisyNeighbour(interval: Int, duration: Int, random: Random): List<Pair<Int, Double>> {
        var slow = false
        return (0 until duration).mapNotNull { at ->
            val change = if (slow) 1.0 / SPELL else SLOW_SHARE / (1 - SLOW_SHARE) / SPELL
            if (random.nextDouble() < change) slow = !slow
            (at to (if (slow) 2.5 else 1.0)).takeIf { at % interval == 0 }
        }
    }

    @Test
    fun `an endpoint that has told nothing works as usual`() {
        expectThat(EndpointPace().at(start)).isEqualTo(1.0)
        expectThat(EndpointPace().during(ms(500), start)).isEqualTo(1.0)
    }

    @Test
    fun `what is known of a spell fades towards the mean of the endpoint`() {
        val state = after(EndpointPace(), 0 to 2.5, 50 to 2.5, 100 to 2.5)
        val times = listOf(100, 700, 5_000).map { state.at(start + ms(it)) }
        expectThat(times[0]).isGreaterThan(2.0)
        expectThat(times[1] - state.mean).isLessThan((times[0] - state.mean) / 2)
        expectThat(times[2]).isIn(state.mean - 0.01..state.mean + 0.01)
        expectThat(state.spread(start + ms(5_000))).isGreaterThan(state.spread(start + ms(100)))
    }

    @Test
    fun `long work is less affected by a spell than short work`() {
        val state = after(EndpointPace(), 0 to 2.5, 50 to 2.5)
        val now = start + ms(60)
        expectThat(state.during(ms(40), now)).isGreaterThan(state.during(ms(2_000), now))
        expectThat(state.during(null, now)).isEqualTo(state.at(now))
    }

    @Test
    fun `one figure of an endpoint that was steady does not count in full`() {
        val steady = after(EndpointPace(), *Array(40) { it * 1_000 to 1.0 })
        val once = after(steady, 40_000 to 2.5)
        expectThat(once.at(start + ms(40_000))).isLessThan(1.6)
        expectThat(PaceEstimator.jumps(steady, 2.5, start + ms(40_000))).isTrue()
        expectThat(PaceEstimator.jumps(steady, 1.1, start + ms(40_000))).isFalse()
    }

    @Test
    fun `the mean, the share of slow time and the fading of a noisy machine are learned`() {
        val state = after(EndpointPace(), *noisyNeighbour(80, 300_000, Random(1)).toTypedArray())
        expectThat(state.mean).isIn(1.1..1.4)
        expectThat(state.slowShare).isIn(0.08..0.25)
        expectThat(state.fadingMilliseconds).isIn(200.0..1_200.0)
    }

    @Test
    fun `the estimate of a noisy machine errs less than its mean, and than its last figure once that is old`() {
        listOf(100, 600).forEach { age ->
            val figures = noisyNeighbour(age, 400_000, Random(2))
            val errors = DoubleArray(3)
            figures.zipWithNext().fold(EndpointPace()) { state, (last, next) ->
                val known = after(state, last)
                val estimates = listOf(known.at(start + ms(next.first)), known.mean, last.second)
                estimates.forEachIndexed { index, estimate -> errors[index] += (estimate - next.second).pow(2) }
                known
            }
            expectThat(errors[0]).describedAs("against the mean, $age ms").isLessThan(errors[1])
            if (age >= 600) expectThat(errors[0]).describedAs("against the last figure").isLessThan(errors[2])
        }
    }

    @Test
    fun `figures that jump between extremes leave the estimate near their mean after a moment`() {
        val figures = Array(200) { it * 400 to if (it % 2 == 0) 100.0 else 0.001 }
        val state = after(EndpointPace(), *figures)
        val later = start + ms(200 * 400 + 1_000)
        expectThat(abs(state.at(later) - state.mean)).isLessThan(0.4)
        expectThat(state.mean).isIn(1.0..4.0)
    }

    private companion object {
        const val SPELL = 600.0
        const val SLOW_SHARE = 0.15
    }
}
