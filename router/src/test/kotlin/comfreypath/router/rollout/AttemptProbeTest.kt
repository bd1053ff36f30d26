package comfreypath.router.rollout

import comfreypath.coordination.rollout.AttemptResult
import comfreypath.coordination.rollout.AttemptSample
import comfreypath.coordination.verdict.AttemptOutcome
import comfreypath.coordination.verdict.UnknownReason
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Duration
import java.time.Instant

class AttemptProbeTest {
    private var now = Instant.ofEpochSecond(1_000)
    private val samples = mutableListOf<AttemptSample>()

    private fun probe(expectedPace: Double = 1.0) = AttemptProbe(
        clock = { now },
        blank = AttemptSample("r", target = true, result = AttemptResult.RESPONDING),
        timed = true,
        expectedPace = expectedPace,
    ) { samples += it }

    private fun stream(probe: AttemptProbe) {
        now = now.plusMillis(250)
        probe.recordEvents(1)
        now = now.plusMillis(600)
        probe.recordEvents(6)
    }

    @Test
    fun `a slow machine is not blamed on the version of its endpoint`() {
        stream(probe().apply { recordMachinePace(2.5) })
        expectThat(samples.single().firstEvent).isEqualTo(Duration.ofMillis(100))
        expectThat(samples.single().pace).isEqualTo(Duration.ofMillis(40))
    }

    @Test
    fun `a slow version is not excused by a machine that works as usual`() {
        stream(probe(expectedPace = 2.5).apply { recordMachinePace(1.0) })
        expectThat(samples.single().firstEvent).isEqualTo(Duration.ofMillis(250))
    }

    @Test
    fun `times are as measured where no pace is told`() {
        stream(probe())
        expectThat(samples.single().firstEvent).isEqualTo(Duration.ofMillis(250))
        expectThat(samples.single().pace).isEqualTo(Duration.ofMillis(100))
    }

    @Test
    fun `an attempt without a response is measured by the pace that was expected`() {
        val probe = probe(expectedPace = 2.0)
        now = now.plusMillis(1_000)
        probe.end(AttemptOutcome.Unknown(UnknownReason.STALLED))
        expectThat(samples.single().firstEvent).isEqualTo(Duration.ofMillis(500))
    }
}
