package comfreypath.coordination.evidence

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.time.Duration

class CrashReplayTest {
    private val seeds = 1L..20L

    private fun expectContained(plan: CrashPlan, seeds: LongRange = this.seeds) = seeds.forEach { seed ->
        val replay = CrashReplay(seed, plan).run()
        expectThat(replay).describedAs("seed $seed").and {
            get { sentAfterFifthCrash }.isLessThanOrEqualTo(3)
            get { soundRefused }.isLessThanOrEqualTo(replay.soundSent / 100)
            get { wronglyQuarantined.filter { it in CrashReplay.SHARED_PARTS } }.isEmpty()
            get { quarantinedAt }.isNotNull()
            get { soundSent }.isGreaterThan(1_000)
        }
    }

    private fun expectNothingQuarantined(plan: (Long) -> CrashPlan) = seeds.forEach { seed ->
        val replay = CrashReplay(seed, plan(seed)).run()
        expectThat(replay).describedAs("seed $seed").and {
            get { wronglyQuarantined }.isEmpty()
            get { soundRefused }.isEqualTo(0)
            get { quarantinedAt }.isNull()
        }
    }

    @Test
    fun `requests of one kind no longer crash one server after the other`() =
        listOf(0.05, 0.15, 0.5).forEach { share -> expectContained(CrashPlan(deadlyShare = share)) }

    @Test
    fun `without a limit, requests of one kind go on crashing servers`() {
        val unlimited = PartEvidenceOptions(momentsToHoldRepeats = Int.MAX_VALUE, momentsToQuarantine = Int.MAX_VALUE)
        val replay = CrashReplay(1, CrashPlan(deadlyShare = 0.05), unlimited).run()
        expectThat(replay.sentAfterFifthCrash).isGreaterThan(10)
    }

    @Test
    fun `a deadly part is found although half of the status messages are lost`() =
        expectContained(CrashPlan(deadlyShare = 0.05, statusLoss = 0.5))

    @Test
    fun `a deadly part is found although two routers do not hear each other`() =
        expectContained(CrashPlan(deadlyShare = 0.05, deafPairs = true))

    @Test
    fun `a deadly part is found while servers also crash for other reasons`() =
        expectContained(CrashPlan(deadlyShare = 0.05, crashes = mapOf(2_000 to 0.4, 6_000 to 0.4, 12_000 to 0.4)))

    @Test
    fun `a deadly part is found while responses begin late`() =
        expectContained(CrashPlan(deadlyShare = 0.05, firstEventFactor = 4))

    @Test
    fun `a part that becomes deadly after many responses is found`() =
        expectContained(CrashPlan(deadlyShare = 0.05, deadlyFrom = 8_000, duration = 40_000))

    @Test
    fun `crashes of most servers at once quarantine nothing`() =
        expectNothingQuarantined { CrashPlan(crashes = mapOf(4_000 to 0.6, 9_000 to 1.0, 9_900 to 0.6, 14_000 to 1.0)) }

    @Test
    fun `single crashes in quick succession quarantine nothing`() =
        expectNothingQuarantined { CrashPlan(crashes = (2_000..20_000 step 700).associateWith { 0.2 }) }

    @Test
    fun `crashes while responses begin late quarantine nothing`() =
        expectNothingQuarantined {
            CrashPlan(crashes = (2_000..20_000 step 2_500).associateWith { 0.35 }, firstEventFactor = 4)
        }

    @Test
    fun `a router that loses all its connections at once quarantines nothing`() =
        expectNothingQuarantined { CrashPlan(cutRouterAt = 4_000, crashes = mapOf(3_000 to 0.4, 9_000 to 0.6)) }

    @Test
    fun `a restarted router learns of a quarantine from its peers`() = seeds.forEach { seed ->
        val replay = CrashReplay(seed, CrashPlan(deadlyShare = 0.05, restartRouterAt = 20_000)).run()
        expectThat(replay.quarantinedAt).describedAs("seed $seed").isNotNull().isLessThan(20_000)
        expectThat(replay.state(0).parts[CrashReplay.DEADLY]?.quarantine).describedAs("seed $seed").isNotNull()
        expectThat(
            replay.deadlySent.filter { (at, router) -> router == 0 && at > 20_700 }
        ).describedAs("seed $seed").isEmpty()
    }

    @Test
    fun `a part that proves sound in its trial is released by all routers`() = seeds.forEach { seed ->
        val plan = CrashPlan(deadlyShare = 0.05, deadlyFrom = 3_000, deadlyUntil = 20_000, duration = 120_000)
        val options = PartEvidenceOptions(secondTrial = Duration.ofSeconds(20))
        val replay = CrashReplay(seed, plan, options).run()
        expectThat(replay.quarantinedAt).describedAs("seed $seed").isNotNull()
        expectThat(replay.releasedAt).describedAs("seed $seed").isNotNull()
        (0 until 8).forEach { router ->
            expectThat(replay.state(router).quarantined).describedAs("seed $seed, router $router").isEqualTo(0)
        }
    }
}
