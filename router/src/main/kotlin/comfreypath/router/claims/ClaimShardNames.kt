package comfreypath.router.claims

import comfreypath.coordination.facts.StoreVersion

private const val MAX_EARLIER_ERAS = 4

/**
 * The names of the objects that hold a claim shard.
 *
 * Each era of the store has its own object. A conditional write that was sent in an earlier era and arrives late can't
 * replace claims of this one, although the store may have given the revision out again.
 */
internal object ClaimShardNames {
    /** The name to write in [era]; [shard] itself if the store names no eras. */
    fun toWrite(shard: String, era: Long): String = if (era == 0L) shard else "$shard.$era"

    /** The version of a shard without an object in [era]. */
    fun absent(era: Long): Long = StoreVersion.of(era, revision = 0)?.number ?: 0

    /** The names under which the content may be found in [era], the latest first. */
    fun toRead(shard: String, era: Long): List<String> {
        val oldest = maxOf(1, era - MAX_EARLIER_ERAS)
        return (era downTo oldest).map { toWrite(shard, it) } + shard
    }
}
