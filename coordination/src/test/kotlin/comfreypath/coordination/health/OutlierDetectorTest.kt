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
    private val detector = OutlierDetector(options)
    private val start = Instant.ofEpochSecond(1_000)

    /** The state after [evidence] with a constant [gap] in between. */
    private fun feed(evidence: List<HealthEvidence>, gap: Duration, from: HealthState = HealthState()): HealthState =
        evidence.foldIndexed(from) { index, state, next ->
            detector.after(state, next, start + gap.multipliedBy(index.toLong()))
        }

    @Test
    fun `an endpoint that can't be reached is ejected at once, and for longer each time`() {
        val first = detector.after(HealthState(), HealthEvidence.UNREACHABLE, start)
        expectThat(first.ejectedUntil).isEqualTo(start + options.baseEjectionTime)
        val second = detector.after(first, HealthEvidence.UNREACHABLE, start + options.baseEjectionTime)
        expectThat(second.ejectedUntil).isEqualTo(start + options.baseEjectionTime.multipliedBy(3))
        var state = second
        repeat(10) { state = detector.after(state, HealthEvidence.UNREACHABLE, checkNotNull(state.ejectedUntil)) }
        expectThat(Duration.between(state.updatedAt, state.ejectedUntil)).isEqualTo(options.maxEjectionTime)
    }

    @Test
    fun `an endpoint that loses consecutive responses is ejected within a second`() {
        val state = feed(List(3) { HealthEvidence.LOST }, Duration.ofMillis(300))
        expectThat(state.isEjected(start.plusMillis(601))).isTrue()
    }

    @Test
    fun `an endpoint that tells that it is slow is ejected only after more silences`() {
        fun ejectedAfter(silences: Int, patience: Double) = (0 until silences)
            .fold(HealthState()) { state, number ->
                detector.after(state, HealthEvidence.SILENT, start.plusMillis(number * 100L), patience)
            }.ejections > 0
        expectThat(ejectedAfter(2, patience = 1.0)).isTrue()
        expectThat(ejectedAfter(3, patience = 2.5)).isFalse()
        expectThat(ejectedAfter(5, patience = 2.5)).isTrue()
    }

    @Test
    fun `an endpoint that fails nearly half of its requests while its health check passes is not ejected`() {
        val mixed = List(40) { if (it % 7 < 3) HealthEvidence.FAILED else HealthEvidence.ANSWERED }
        expectThat(feed(mixed, Duration.ofMillis(100)).ejectedUntil).isEqualTo(null)
    }

    @Test
    fun `an endpoint that fails most of its requests is ejected`() {
        val mostly = List(40) { if (it % 4 == 0) HealthEvidence.ANSWERED else HealthEvidence.FAILED }
        expectThat(feed(mostly, Duration.ofMillis(100)).ejections > 0).isTrue()
    }

    @Test
    fun `an endpoint that responds after an ejection is used again, and one that fails is ejected again`() {
        val ejected = detector.after(HealthState(), HealthEvidence.UNREACHABLE, start)
        val later = checkNotNull(ejected.ejectedUntil).plusSeconds(5)
        val recovered = detector.after(ejected, HealthEvidence.ANSWERED, later)
        expectThat(recovered.isEjected(later)).isFalse()
        expectThat(recovered.ejections).isEqualTo(0)
        val relapsed = detector.after(ejected, HealthEvidence.LOST, later)
        expectThat(relapsed.isEjected(later)).isTrue()
    }

    @Test
    fun `a full endpoint gets no requests for a moment, which does not count as an ejection`() {
        val full = detector.after(HealthState(), HealthEvidence.FULL, start)
        expectThat(full.isEjected(start)).isTrue()
        expectThat(full.isEjected(start + options.fullBackoff)).isFalse()
        expectThat(full.ejections).isEqualTo(0)
    }

    @Test
    fun `when most endpoints fail, the half with the lowest failure rates is used`() {
        fun ejected(failureRate: Double) =
            HealthState(failures = failureRate * 10, outcomes = 10.0, ejectedUntil = start.plusSeconds(1))
        val states = mapOf("a" to ejected(0.9), "b" to ejected(0.6), "c" to ejected(0.7), "d" to ejected(0.95))
        expectThat(HealthFilter.usable(states.keys.toList(), start) { states.getValue(it) }).containsExactly("b", "c")
        val mixed = states + ("d" to HealthState()) + ("a" to HealthState())
        expectThat(HealthFilter.usable(mixed.keys.toList(), start) { mixed.getValue(it) }).containsExactly("a", "d")
    }
}
