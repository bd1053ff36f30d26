package comfreypath.coordination.claims

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import java.time.Instant

/**
 * The claims of one shard that this router has granted, recorded or released lately.
 *
 * Answers the load in which the store comes back from a copy that lacks the last claims, while callers repeat the
 * requests that those claims cover. What the copy lacks is written again by the router that was granted it.
 */
data class OwnClaims(private val claims: PersistentMap<String, OwnClaim> = persistentMapOf()) {
    /** A claim as written, and when. */
    data class OwnClaim(val record: ClaimRecord, val writtenAt: Instant)

    /** True if there are none. */
    val isEmpty: Boolean get() = claims.isEmpty()

    /** Remembers those of [records] that the [operations] concern, and forgets those written before [oldest]. */
    fun written(
        operations: List<PendingOperation>,
        records: Map<String, ClaimRecord>,
        now: Instant,
        oldest: Instant,
    ): OwnClaims {
        val keys = operations.map { it.operation.key.text }
        val added = keys.mapNotNull { key -> records[key]?.let { key to OwnClaim(it, now) } }
        return OwnClaims(claims.putAll(added.toMap())).without(oldest)
    }

    /** Forgets the claims that were written before [oldest]. */
    fun without(oldest: Instant): OwnClaims {
        val old = claims.filterValues { it.writtenAt < oldest }.keys
        return if (old.isEmpty()) this else OwnClaims(old.fold(claims) { kept, key -> kept.remove(key) })
    }

    /** Adds what [records], read from a copy, lack. */
    fun addedTo(records: PersistentMap<String, ClaimRecord>): PersistentMap<String, ClaimRecord> =
        claims.entries.fold(records) { merged, (key, own) ->
            if (prefersOwn(own.record, merged[key])) merged.put(key, own.record) else merged
        }

    private fun prefersOwn(own: ClaimRecord, read: ClaimRecord?): Boolean = when {
        read == null || read.attempt == own.attempt && !read.released && read.response == null -> read != own
        read.attempt == own.attempt -> false
        // Only one of them was granted. The other is a write that arrived after the loss and was not believed.
        else -> !own.released
    }
}
