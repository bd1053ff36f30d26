package comfreypath.coordination.room

import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo

private const val PART_OF_BOUND = 0.9
private const val PART_OF_OTHERS = 0.98

/** A kind counts as served less often than a more urgent one beyond this difference. */
private const val KIND_TOLERANCE = 0.05

/** The least part of the mean that a team or a kind must get; below it, it starves. */
private const val STARVED = 0.25

class RoomReplayTest {
    private fun byWork(pattern: ReplayPattern) = RoomReplay(pattern) { ByWork() }.run()

    @ParameterizedTest
    @EnumSource(ReplayPattern::class, names = ["SURGE"], mode = EnumSource.Mode.EXCLUDE)
    fun `callers get nine tenths of what a clairvoyant fleet would serve`(pattern: ReplayPattern) {
        val result = byWork(pattern)
        println("$pattern by work: $result")
        expectThat(result.onTime).isGreaterThanOrEqualTo(PART_OF_BOUND * result.bound)
    }

    @Tag("known-red")
    @Test
    fun `callers get nine tenths of what a clairvoyant fleet would serve in a surge of all`() {
        val result = byWork(ReplayPattern.SURGE)
        expectThat(result.onTime).isGreaterThanOrEqualTo(PART_OF_BOUND * result.bound)
    }

    @ParameterizedTest
    @EnumSource(ReplayPattern::class, names = ["POWER_RETURNED"], mode = EnumSource.Mode.EXCLUDE)
    fun `callers get no less than by numbers of requests or from the less loaded endpoint`(pattern: ReplayPattern) =
        expectNoLess(pattern)

    @Tag("known-red")
    @Test
    fun `callers get no less than by numbers of requests after a loss of power`() =
        expectNoLess(ReplayPattern.POWER_RETURNED)

    private fun expectNoLess(pattern: ReplayPattern) {
        val byRequests = RoomReplay(pattern) { ByRequests() }.run()
        val sendAll = RoomReplay(pattern) { SendAll() }.run()
        println("$pattern by requests: $byRequests\n$pattern send all: $sendAll")
        expectThat(byWork(pattern).onTime).isGreaterThanOrEqualTo(maxOf(byRequests.onTime, sendAll.onTime))
    }

    @Tag("known-red")
    @Test
    fun `a team at 60 times its usual costs the other teams nothing`() {
        val without = byWork(ReplayPattern.WITHOUT_RIVAL).othersOnTime
        expectThat(byWork(ReplayPattern.RIVALS).othersOnTime).isGreaterThanOrEqualTo(PART_OF_OTHERS * without)
    }

    @ParameterizedTest
    @EnumSource(ReplayPattern::class)
    fun `no urgent kind is served less often than a less urgent one, and nobody starves`(pattern: ReplayPattern) {
        val result = byWork(pattern)
        val kinds = Kind.entries.map { result.servedByKind.getValue(it) }
        expectThat(kinds.zipWithNext { urgent, next -> urgent - next }.min()).isGreaterThanOrEqualTo(-KIND_TOLERANCE)
        expectThat(kinds.min()).isGreaterThanOrEqualTo(STARVED * result.served)
        expectThat(result.servedByTeam.values.min()).isGreaterThanOrEqualTo(STARVED * result.served)
        expectThat(result.needlessRefusals).isEqualTo(0)
    }
}
