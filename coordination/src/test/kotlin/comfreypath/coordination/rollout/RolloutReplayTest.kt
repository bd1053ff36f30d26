package comfreypath.coordination.rollout

import comfreypath.coordination.routing.RolloutState
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

private const val SEEDS = 25

class RolloutReplayTest {
    private fun replay(conditions: ReplayConditions, check: (ReplayReport) -> Unit) = (1..SEEDS).forEach { seed ->
        try {
            check(RolloutReplay(conditions, seed).run())
        } catch (failure: AssertionError) {
            throw AssertionError("seed $seed: ${failure.message}", failure)
        }
    }

    private fun expectRolledBack(conditions: ReplayConditions) = replay(conditions) { report ->
        expectThat(report.outcome).isEqualTo(RolloutState.ROLLED_BACK)
        expectThat(report.recorded.count { it.first == RolloutState.ROLLED_BACK }).isEqualTo(1)
        expectThat(report.canaries.toDouble()).isLessThanOrEqualTo(report.allowed)
        expectThat(report.lateCanaries).isEqualTo(0)
    }

    private fun expectCompleted(conditions: ReplayConditions) = replay(conditions) { report ->
        expectThat(report.outcome).isEqualTo(RolloutState.COMPLETED)
        expectThat(report.recorded.last().second).isLessThan(conditions.durationMilliseconds)
    }

    private fun sometimes(probability: Double, harm: Harm) = ReplayConditions(
        harm = { _, _, _, random -> if (random < probability) harm else Harm.NONE },
    )

    @Test
    fun `a good version is completed before the deadline`() = expectCompleted(ReplayConditions())

    @Test
    fun `a chat changes to the new version at most once after the share begins to grow`() =
        replay(ReplayConditions()) { report -> expectThat(report.moves).isLessThanOrEqualTo(1) }

    @Test
    fun `a good version is completed while the traffic is slow`() =
        expectCompleted(ReplayConditions(requestsPerSecond = 3.0))

    @Test
    fun `a good version is completed within a short time`() =
        expectCompleted(ReplayConditions(durationMilliseconds = 6_000))

    @Test
    fun `a version that answers three times slower is rolled back, not completed`() =
        expectRolledBack(sometimes(1.0, Harm.SLOW))

    @Test
    fun `a version of which half of the answers are eight times slower is rolled back`() =
        expectRolledBack(sometimes(0.5, Harm.SLOW).copy(slowness = 8.0))

    @Test
    fun `a version that fails a part of its requests is rolled back`() =
        expectRolledBack(sometimes(0.4, Harm.FAILED))

    @Test
    fun `a version that fails all requests is rolled back`() = expectRolledBack(sometimes(1.0, Harm.FAILED))

    @Test
    fun `a version that turns bad late is rolled back`() = listOf(Harm.SLOW, Harm.FAILED).forEach { harm ->
        expectRolledBack(
            ReplayConditions(harm = { _, age, _, random -> if (age > 6_000 && random < 0.7) harm else Harm.NONE }),
        )
    }

    @Test
    fun `a version that is bad on one route only is rolled back`() = listOf(Harm.SLOW, Harm.FAILED).forEach { harm ->
        expectRolledBack(
            ReplayConditions(harm = { route, _, _, random -> if (route == 1 && random < 0.7) harm else Harm.NONE }),
        )
    }

    @Test
    fun `a version that is bad under load only is rolled back`() = expectRolledBack(
        ReplayConditions(
            harm = { _, _, inFlight, random -> if (inFlight > 3 && random < 0.7) Harm.SLOW else Harm.NONE }
        ),
    )

    @Test
    fun `a prompt that many callers share does not raise the share of a bad version`() =
        expectRolledBack(sometimes(0.5, Harm.SLOW).copy(hotPart = true))

    @Test
    fun `a bad version is rolled back after its controller has stopped`() =
        expectRolledBack(sometimes(0.5, Harm.SLOW).copy(stopController = 1_000))

    @Test
    fun `a good version is completed in time after its controller has stopped`() =
        expectCompleted(ReplayConditions(stopController = 13_000))

    @Test
    fun `a bad version gets no requests while the store is away, and is rolled back on its return`() =
        expectRolledBack(sometimes(0.5, Harm.SLOW).copy(storeAway = 1_000L..20_000L))

    @Test
    fun `writes whose answers are lost are not repeated`() {
        expectRolledBack(sometimes(0.5, Harm.SLOW).copy(answersLost = 0.7))
        replay(ReplayConditions(answersLost = 0.7)) { report ->
            expectThat(report.recorded.map { it.first })
                .isEqualTo(listOf(RolloutState.RUNNING, RolloutState.COMPLETED))
        }
    }
}
