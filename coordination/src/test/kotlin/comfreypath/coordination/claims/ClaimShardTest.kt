package comfreypath.coordination.claims

import comfreypath.coordination.model.TeamName
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.filterIsInstance
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.single
import java.time.Instant

class ClaimShardTest {
    private val start: Instant = Instant.parse("2026-01-01T00:00:00Z")
    private val shard = ClaimShard()
    private val key = ClaimKey(TeamName("team-1"), "once")
    private val claim = ClaimOperation.Claim(key, AttemptId("first"), fingerprint = 7)
    private val empty = LoadedShard(revision = 0, records = persistentMapOf())

    private fun writeIn(actions: List<ClaimShardAction>) = actions.filterIsInstance<ClaimShardAction.Write>().single()

    private fun completions(actions: List<ClaimShardAction>) = actions.filterIsInstance<ClaimShardAction.Complete>()

    @Test
    fun `a claim is granted only once its write is known to have taken effect`() {
        val submitted = shard.step(ClaimShardState(), ClaimShardEvent.Submitted(claim), start)
        val read = shard.step(submitted.state, ClaimShardEvent.ReadDone(empty), start)
        expectThat(read.actions).filterIsInstance<ClaimShardAction.Complete>().isEmpty()
        val done = shard.step(read.state, ClaimShardEvent.WriteDone(revision = 1), start)
        expectThat(done.actions).contains(ClaimShardAction.Complete(claim, ClaimResult.Granted))
    }

    @Test
    fun `after a write with an unknown outcome the shard is read and compared before it is written again`() {
        val submitted = shard.step(ClaimShardState(), ClaimShardEvent.Submitted(claim), start)
        val read = shard.step(submitted.state, ClaimShardEvent.ReadDone(empty), start)
        val records = writeIn(read.actions).records.toPersistentMap()
        val lost = shard.step(read.state, ClaimShardEvent.WriteNotConfirmed(conflict = false), start)
        expectThat(lost.actions).isEmpty()
        val again = shard.step(lost.state, ClaimShardEvent.Tick, start.plusMillis(300))
        expectThat(again.actions).single().isA<ClaimShardAction.Read>()
        val found = shard.step(again.state, ClaimShardEvent.ReadDone(LoadedShard(1, records)), start.plusMillis(301))
        expectThat(found.actions).single().isEqualTo(ClaimShardAction.Complete(claim, ClaimResult.Granted))
    }

    @Test
    fun `of two routers that write concurrently only one grants the key`() {
        val other = claim.copy(attempt = AttemptId("second"))
        val both = listOf(claim, other).map { operation ->
            val submitted = shard.step(ClaimShardState(), ClaimShardEvent.Submitted(operation), start)
            shard.step(submitted.state, ClaimShardEvent.ReadDone(empty), start)
        }
        val winner = shard.step(both[0].state, ClaimShardEvent.WriteDone(revision = 1), start)
        val records = writeIn(both[0].actions).records.toPersistentMap()
        val loser = shard.step(both[1].state, ClaimShardEvent.WriteNotConfirmed(conflict = true), start)
        val reread = shard.step(loser.state, ClaimShardEvent.ReadDone(LoadedShard(1, records)), start)
        expectThat(completions(winner.actions).single().result).isEqualTo(ClaimResult.Granted)
        expectThat(completions(reread.actions).single().result).isEqualTo(ClaimResult.Taken(fingerprint = 7))
    }

    @Test
    fun `a claim without a recorded response is never granted again`() {
        val record = ClaimRecord(AttemptId("first"), fingerprint = 7, claimedAt = start)
        val loaded = LoadedShard(3, persistentMapOf(key.text to record), readAt = start)
        val other = claim.copy(attempt = AttemptId("second"))
        val submitted = shard.step(ClaimShardState(loaded = loaded), ClaimShardEvent.Submitted(other), start)
        expectThat(completions(submitted.actions).single().result).isA<ClaimResult.Taken>()
    }

    @Test
    fun `a stale shard is read again before a key is reported as having no response`() {
        val record = ClaimRecord(AttemptId("first"), fingerprint = 7, claimedAt = start)
        val loaded = LoadedShard(3, persistentMapOf(key.text to record), readAt = start)
        val other = claim.copy(attempt = AttemptId("second"))
        val later = start.plusSeconds(5)
        val submitted = shard.step(ClaimShardState(loaded = loaded), ClaimShardEvent.Submitted(other), later)
        expectThat(submitted.actions).single().isA<ClaimShardAction.Read>()
    }

    @Test
    fun `a released claim can be claimed by another attempt`() {
        val record = ClaimRecord(AttemptId("first"), fingerprint = 7, claimedAt = start, released = true)
        val loaded = LoadedShard(3, persistentMapOf(key.text to record), readAt = start)
        val other = claim.copy(attempt = AttemptId("second"))
        val submitted = shard.step(ClaimShardState(loaded = loaded), ClaimShardEvent.Submitted(other), start)
        expectThat(writeIn(submitted.actions).records.getValue(key.text).attempt).isEqualTo(AttemptId("second"))
    }

    @Test
    fun `a claim that passes its timeout completes as unavailable`() {
        val submitted = shard.step(ClaimShardState(), ClaimShardEvent.Submitted(claim), start)
        val failed = shard.step(submitted.state, ClaimShardEvent.ReadFailed, start.plusSeconds(1))
        val late = shard.step(failed.state, ClaimShardEvent.Tick, start.plusSeconds(3))
        expectThat(completions(late.actions).single().result).isA<ClaimResult.Unavailable>()
    }
}
