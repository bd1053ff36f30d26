package comfreypath.coordination.claims

import comfreypath.coordination.model.TeamName
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import kotlinx.serialization.Serializable

/** Identifies a request that must run at most once, by its team and `Idempotency-Key`. */
@Serializable
data class ClaimKey(val team: TeamName, val idempotencyKey: String) {
    /** Key of the claim in its shard; the length prefix keeps the keys of different pairs distinct. */
    val text: String get() = "${team.text.length}:${team.text}:$idempotencyKey"

    /** Returns the number of the claim's shard, from 0 to [shardCount] - 1. */
    fun shard(shardCount: Int): Int = Math.floorMod(mix(hashOf(team.text), hashOf(idempotencyKey)), shardCount)
}
