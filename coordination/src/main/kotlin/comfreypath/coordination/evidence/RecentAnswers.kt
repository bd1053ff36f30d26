package comfreypath.coordination.evidence

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import java.time.Instant

/**
 * When a response to a request with each part last began, for the parts with the most recent ones.
 *
 * Kept in two generations: a full [current] one replaces the [previous] one.
 */
data class RecentAnswers(
    val current: PersistentMap<Long, Instant> = persistentMapOf(),
    val previous: PersistentMap<Long, Instant> = persistentMapOf(),
) {
    /** The latest response to a request with [part]; null if none is known. */
    fun latest(part: Long): Instant? = current[part] ?: previous[part]

    /** Adds a response at [at] to a request with [part]; a generation holds at most [maxParts] parts. */
    fun with(part: Long, at: Instant, maxParts: Int): RecentAnswers {
        val known = latest(part)
        return when {
            known != null && known >= at -> this
            part in current || current.size < maxParts -> copy(current = current.put(part, at))
            else -> RecentAnswers(persistentMapOf(part to at), current)
        }
    }
}
