package comfreypath.coordination.evidence

import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentMap
import java.time.Instant

/** Bounds the memory for suspected parts. */
internal object PartBounds {
    /** Drops old crashes, parts without any, and the least suspected, longest unchanged parts beyond the maximum. */
    fun prune(state: PartEvidenceState, options: PartEvidenceOptions, now: Instant): PartEvidenceState {
        val expired = now - options.crashTtl
        val current = state.parts.mapValues { (_, suspicion) -> withoutOldCrashes(suspicion, expired) }
            .filterValues { it.isNeeded(options, now) }
        val bounded = if (current.size > options.maxParts) mostSuspected(current, options) else current
        return if (bounded == state.parts) state else state.copy(parts = bounded.toPersistentMap())
    }

    private fun withoutOldCrashes(suspicion: PartSuspicion, expired: Instant): PartSuspicion =
        if (suspicion.quarantine != null || suspicion.crashes.all { it.at > expired }) {
            suspicion
        } else {
            suspicion.copy(crashes = suspicion.crashes.filter { it.at > expired }.toImmutableList())
        }

    private fun PartSuspicion.isNeeded(options: PartEvidenceOptions, now: Instant): Boolean =
        quarantine != null || crashes.isNotEmpty() || now < changedAt + options.clearance

    private fun mostSuspected(parts: Map<Long, PartSuspicion>, options: PartEvidenceOptions) = parts.entries
        .sortedWith(
            compareByDescending<Map.Entry<Long, PartSuspicion>> { it.value.quarantine != null }
                .thenByDescending { it.value.moments(options) }
                .thenByDescending { it.value.changedAt },
        )
        .take(options.maxParts)
        .associate { it.key to it.value }
}
