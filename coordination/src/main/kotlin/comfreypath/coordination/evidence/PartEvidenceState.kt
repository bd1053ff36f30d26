package comfreypath.coordination.evidence

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import java.time.Instant

/**
 * What one router knows about prompt parts that may crash endpoints.
 *
 * @property parts parts that are or were recently suspected by any router
 * @property answers the latest responses that this router has received, by part, suspected or not
 */
data class PartEvidenceState(
    val parts: PersistentMap<Long, PartSuspicion> = persistentMapOf(),
    val answers: RecentAnswers = RecentAnswers(),
) {
    /** The number of quarantined parts. */
    val quarantined: Int get() = parts.values.count { it.quarantine != null }

    /** The latest response to a request with [part], by any router as far as known; null if none is known. */
    fun answeredAt(part: Long): Instant? =
        listOfNotNull(parts[part]?.answeredAt, answers.latest(part)).maxOrNull()
}

/**
 * The evidence against one part.
 *
 * @property crashes crashes since the latest response at which requests with the part had no response yet
 * @property answeredAt the latest response that a peer has reported; null if there is none
 * @property quarantine null while requests with the part may be sent
 * @property changedAt the latest change
 */
data class PartSuspicion(
    val crashes: ImmutableList<Crash> = persistentListOf(),
    val answeredAt: Instant? = null,
    val quarantine: PartQuarantine? = null,
    val changedAt: Instant,
)

/**
 * The quarantine of a part.
 *
 * @property until when a trial is due
 * @property failures the number of failed trials
 * @property trialAt when this router sent a trial that has no outcome yet; null if there is none
 */
data class PartQuarantine(val until: Instant, val failures: Int = 0, val trialAt: Instant? = null)
