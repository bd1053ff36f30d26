package comfreypath.coordination.claims

import java.time.Duration
import java.time.Instant

private const val MAX_WAIT_SECONDS = 10L

/**
 * When keys that no claim covers may be claimed again after the store has come back from a copy.
 *
 * Answers the load in which a caller repeats a request at another router before the first one has written its lost
 * claim again. In a new era, a key without a claim is not granted until all routers of the fleet have said that they
 * have written theirs; a router that is gone or suspended is waited for up to a limit.
 *
 * @property era the highest era known
 * @property since when this router learned of [era]
 * @property settled true once keys may be claimed
 */
data class ClaimRecovery(val era: Long = 0, val since: Instant = Instant.EPOCH, val settled: Boolean = true) {
    /**
     * Returns the state at [now].
     *
     * @param known the highest era that is known now
     * @param ownRestored true once this router has written its own claims again in [known]
     * @param othersRestored whether all other routers have said so
     */
    fun next(known: Long, ownRestored: Boolean, othersRestored: Boolean, now: Instant): ClaimRecovery = when {
        known > era -> ClaimRecovery(known, now, settled = false)
        settled -> this
        else -> copy(settled = ownRestored && othersRestored || now >= since + maxWait)
    }

    private companion object {
        val maxWait: Duration = Duration.ofSeconds(MAX_WAIT_SECONDS)
    }
}
