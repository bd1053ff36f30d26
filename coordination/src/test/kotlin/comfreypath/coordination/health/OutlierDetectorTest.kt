package comfreypath.coordination.health

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant

class OutlierDetectorTest {
    private val options = HealthOptions()
    private val health = OutlierDetector(options)
    private val start = Instant.ofEpochSecond(1_000)

    /** Feeds evidence at a steady pace. */
    private fun feed(evidence: List<HealthEvidence>, pace: Duration, from: HealthState = HealthState()): HealthState =
        evidence.foldIndexed(from) { index, state, seen ->
            health.after(state, seen, start + pace.multipliedBy(index.toLong()))
        }

    @Test
    fun `an endpoint that can't be reached is left out at once, and for longer each time`() {
        val first = health.after(HealthState(), HealthEvidence.UNREACHABLE, start)
        expectThat(first.ejectedUntil).isEqualTo(start + options.baseEjectionTime)
        val second = health.after(first, HealthEvidence.UNREACHABLE, start + options.baseEjectionTime)
        expectThat(second.ejectedUntil).isEqualTo(start + options.baseEjectionTime.multipliedBy(3))
        var state = second
        repeat(10) { state = health.after(state, HealthEvidence.UNREACHABLE, checkNotNull(state.ejectedUntil)) }
        expectThat(Duration.between(state.updatedAt, state.ejectedUntil)).isEqualTo(options.maxEjectionTime)
    }

    @Test
    fun `an endpoint that loses answers in a row is left out within a second`() {
        val state = feed(List(3) { HealthEvidence.LOST }, Duration.ofMillis(300))
        expectThat(state.isEjected(start.plusMillis(601))).isTrue()
    }

    @Test
    fun `an endpoint that fails nearly half of its requests while its health check is good is kept`() {
        val mixed = List(40) { if (it % 7 < 3) HealthEvidence.FAILED else HealthEvidence.ANSWERED }
        expectThat(feed(mixed, Duration.ofMillis(100)).ejectedUntil).isEqualTo(null)
    }

    @Test
    fun `one that fails most of them is left out`() {
        val mostly = List(40) { if (it % 4 == 0) HealthEvidence.ANSWERED else HealthEvidence.FAILED }
        expectThat(feed(mostly, Duration.ofMillis(100)).ejections > 0).isTrue()
    }

    @Test
    fun `an endpoint that answers again is trusted again, one that fails at once is not`() {
        val out = health.after(HealthState(), HealthEvidence.UNREACHABLE, start)
        val later = checkNotNull(out.ejectedUntil).plusSeconds(5)
        val back = health.after(out, HealthEvidence.ANSWERED, later)
        expectThat(back.isEjected(later)).isFalse()
        expectThat(back.ejections).isEqualTo(0)
        val relapsed = health.after(out, HealthEvidence.LOST, later)
        expectThat(relapsed.isEjected(later)).isTrue()
    }

    @Test
    fun `a full endpoint is spared for a moment and not held against it`() {
        val full = health.after(HealthState(), HealthEvidence.FULL, start)
        expectThat(full.isEjected(start)).isTrue()
        expectThat(full.isEjected(start + options.fullBackoff)).isFalse()
        expectThat(full.ejections).isEqualTo(0)
    }

    @Test
    fun `when most endpoints fail, the half that fails least is used`() {
        fun out(share: Double) =
            HealthState(failures = share * 10, outcomes = 10.0, ejectedUntil = start.plusSeconds(1))
        val states = mapOf("a" to out(0.9), "b" to out(0.6), "c" to out(0.7), "d" to out(0.95))
        expectThat(HealthFilter.usable(states.keys.toList(), start) { states.getValue(it) }).containsExactly("b", "c")
        val sound = states + ("d" to HealthState()) + ("a" to HealthState())
        expectThat(HealthFilter.usable(sound.keys.toList(), start) { sound.getValue(it) }).containsExactly("a", "d")
    }
}
