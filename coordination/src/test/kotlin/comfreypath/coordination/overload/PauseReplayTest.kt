package comfreypath.coordination.overload

import comfreypath.coordination.availability.AvailabilityPolicy
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

/** Pairs of replays, with the same seed and load, before pauses were respected and since. */
class PauseReplayTest {
    private val small = PausePlan()
    private val large = PausePlan(routers = 95, servers = 56, duration = 9_000)

    /** Servers that only refuse while their queue is full, and pause by turns alone. */
    private fun PausePlan.withoutOwnPauses() = copy(ownPause = 0)

    private fun pairs(plan: PausePlan, seeds: LongRange, check: (before: PauseResult, now: PauseResult) -> Unit) =
        seeds.forEach { seed ->
            val before = PauseReplay(seed, plan, policy = null).run()
            val now = PauseReplay(seed, plan, AvailabilityPolicy()).run()
            check(before, now)
        }

    @Test
    fun `servers that go on are not overloaded one by one while others pause at a load above the capacity`() =
        pairs(small, SEEDS) { before, now ->
            expectThat(now.overloads).isLessThanOrEqualTo(before.overloads / 2)
            expectThat(now.onTimeShare).isGreaterThan(before.onTimeShare)
            expectThat(now.refusedShare).isLessThan(before.refusedShare)
        }

    @Test
    @Tag("known-red")
    fun `servers that go on are not overloaded one by one in a large fleet`() =
        pairs(large, LARGE_SEEDS) { before, now ->
            expectThat(now.overloads).isLessThanOrEqualTo(before.overloads * 2 / 3)
            expectThat(now.onTimeShare).isGreaterThan(before.onTimeShare)
            expectThat(now.refusedShare).isLessThan(before.refusedShare)
        }

    @Test
    fun `work returns by steps after a pause, and does not fill the queue`() =
        listOf(small to SEEDS, large to LARGE_SEEDS).forEach { (plan, seeds) ->
            pairs(plan.withoutOwnPauses(), seeds) { before, now ->
                expectThat(now.returnLoads.max()).isLessThanOrEqualTo(MAX_RETURN_LOAD)
                expectThat(now.returnLoads.first()).isLessThan(now.returnLoads.last())
                expectThat(now.onTimeShare).isGreaterThan(before.onTimeShare)
            }
        }

    @Test
    fun `few requests are refused while the servers that go on have room for all`() =
        pairs(small.copy(loadFactor = 0.6), SEEDS) { before, now ->
            expectThat(now.onTimeShare).isGreaterThanOrEqualTo(0.97)
            expectThat(now.refusedShare).isLessThan(before.refusedShare / 10)
        }

    private companion object {
        val SEEDS = 1L..5L
        val LARGE_SEEDS = 1L..2L

        /** The last step allows 18, besides requests of routers that had a share before; 30 fill slots and queue. */
        const val MAX_RETURN_LOAD = 24.0
    }
}
