package comfreypath.coordination.evidence

import comfreypath.coordination.model.InstanceName
import java.time.Duration
import java.time.Instant

/** Begins and prolongs the quarantines of parts. */
internal class PartQuarantines(private val draft: PartEvidenceDraft) {
    private val options = draft.options
    private val now = draft.now

    /**
     * Quarantines the suspects that reached the limit some time ago by crashes that no quarantined part explains.
     *
     * The one whose last response is oldest comes first. A suspect that is due waits for one that precedes it, as the
     * crashes of both may be the same.
     */
    fun addSuspects() {
        var suspect = nextSuspect()
        while (suspect != null && isDue(suspect.value)) {
            quarantine(suspect.key, suspect.value, failures = 0)
            suspect = nextSuspect()
        }
    }

    private fun nextSuspect(): Map.Entry<Long, PartSuspicion>? = draft.state.parts.entries
        .filter { it.value.quarantine == null && decisiveCrash(it.value) != null }
        .minWithOrNull(
            compareBy(
                { draft.state.answeredAt(it.key) ?: Instant.MIN },
                { -it.value.crashes.size },
                { it.key },
            ),
        )

    private fun isDue(suspicion: PartSuspicion): Boolean =
        decisiveCrash(suspicion)?.let { now >= it.at + options.settling } ?: false

    private fun decisiveCrash(suspicion: PartSuspicion): Crash? =
        options.decisive(suspicion.crashes)?.let { options.decisive(suspicion.crashes.filterNot(::isExplained)) }

    /** True if a quarantined part was at [crash], which then says nothing about other parts. */
    private fun isExplained(crash: Crash): Boolean = draft.state.parts.values.any { suspicion ->
        suspicion.quarantine != null && suspicion.crashes.any { it.isSame(crash, options.sameCrash) }
    }

    /** Adopts the quarantine [reported] by the peer [from] unless a response has cleared [part] since. */
    fun adopt(part: Long, reported: ReportedQuarantine, from: InstanceName) {
        val known = draft.state.parts[part]?.takeIf { it.crashes.isNotEmpty() } ?: return
        val own = known.quarantine
        if (own == null || reported.failures > own.failures) {
            begin(part, known, PartQuarantine(now + reported.remaining, reported.failures), from)
        }
    }

    /** Changes the quarantine of [part], if there is one. */
    fun update(part: Long, change: (PartQuarantine) -> PartQuarantine) {
        val known = draft.state.parts[part]
        known?.quarantine?.let { draft.put(part, known.copy(quarantine = change(it))) }
    }

    /** Quarantines [part] again, for longer, after its trial was lost. */
    fun failTrial(part: Long) {
        val known = draft.state.parts[part]
        known?.quarantine?.takeIf { it.trialAt != null }?.let { quarantine(part, known, it.failures + 1) }
    }

    private fun quarantine(part: Long, suspicion: PartSuspicion, failures: Int) {
        begin(part, suspicion, PartQuarantine(now + options.timeUntilTrial(failures), failures), from = null)
    }

    private fun begin(part: Long, suspicion: PartSuspicion, quarantine: PartQuarantine, from: InstanceName?) {
        draft.put(part, suspicion.copy(quarantine = quarantine, changedAt = now))
        draft.emit(
            PartEvidenceAction.Quarantined(
                part = part,
                crashes = suspicion.crashes.size,
                failures = quarantine.failures,
                answeredBefore = draft.state.answeredAt(part)?.let { Duration.between(it, now) },
                duration = Duration.between(now, quarantine.until),
                from = from,
            ),
        )
        draft.announce(toAll = from == null)
    }
}
