package comfreypath.coordination.evidence

import comfreypath.coordination.model.InstanceName
import kotlinx.collections.immutable.toImmutableList
import java.time.Instant

/** Counts crashes against parts, and clears parts that were answered. */
internal class PartCrashes(private val draft: PartEvidenceDraft) {
    private val options = draft.options
    private val now = draft.now
    private val quarantines = PartQuarantines(draft)

    /** Records a response to a request with [part] that this router has received. */
    fun answer(part: Long) {
        val state = draft.state
        draft.state = state.copy(answers = state.answers.with(part, now, options.answersGeneration))
        state.parts[part]?.let { clear(part, it, now, from = null) }
    }

    private fun clear(part: Long, known: PartSuspicion, at: Instant, from: InstanceName?) {
        val later = known.crashes.filter { it.at > at }.toImmutableList()
        if (later.size < known.crashes.size) {
            val quarantine = known.quarantine.takeIf { later.isNotEmpty() }
            draft.put(part, known.copy(crashes = later, quarantine = quarantine, changedAt = now))
            val released = known.quarantine != null && quarantine == null
            draft.emit(PartEvidenceAction.Cleared(part, known.crashes.size - later.size, released, from))
            if (from == null && (released || known.moments(options) >= options.momentsToHoldRepeats)) {
                draft.announce(toAll = true)
            }
        }
    }

    /** Counts [crash] against [parts]. */
    fun crash(crash: Crash, parts: Set<Long>) {
        parts.forEach { count(it, crash, from = null) }
        quarantines.addSuspects()
    }

    /**
     * Merges the [report] of the peer [from].
     *
     * Only what a router has seen itself is reported, so that ages do not grow younger on their way through several
     * routers. Quarantines are an exception, since no response follows them.
     */
    fun report(report: PartReport, from: InstanceName) {
        val suspected = report.crashes.isNotEmpty() || report.part in draft.state.parts
        report.answeredAge?.takeIf { suspected }?.let { answerReported(report.part, now - it, from) }
        report.crashes.forEach { count(report.part, Crash(it.endpointKey, now - it.age, seenHere = false), from) }
        report.quarantine?.let { quarantines.adopt(report.part, it, from) }
        quarantines.addSuspects()
    }

    private fun answerReported(part: Long, at: Instant, from: InstanceName) {
        val known = draft.state.parts[part] ?: PartSuspicion(changedAt = now)
        val latest = known.answeredAt?.let { maxOf(it, at) } ?: at
        val next = known.copy(answeredAt = latest)
        draft.put(part, next)
        clear(part, next, at, from)
    }

    private fun count(part: Long, crash: Crash, from: InstanceName?) {
        val known = draft.state.parts[part] ?: PartSuspicion(changedAt = now)
        val answeredAt = draft.state.answeredAt(part)
        when {
            answeredAt != null && answeredAt >= crash.at -> if (from != null) contradict(part, known)
            else -> add(part, known, crash, from)
        }
    }

    /** Lets the peers know that the part was answered after a crash that one of them counts. */
    private fun contradict(part: Long, known: PartSuspicion) {
        if (known.crashes.isEmpty()) {
            draft.put(part, known.copy(changedAt = now))
        }
    }

    private fun add(part: Long, known: PartSuspicion, crash: Crash, from: InstanceName?) {
        val crashes = known.crashes.plusSighting(crash, options.sameCrash, options.maxCrashes)
        val next = known.copy(crashes = crashes, changedAt = if (crashes == known.crashes) known.changedAt else now)
        draft.put(part, next)
        val moments = next.moments(options)
        if (moments > known.moments(options)) {
            draft.emit(PartEvidenceAction.Suspected(part, moments, crashes.size, from))
            if (from == null) {
                draft.announce(toAll = moments >= options.momentsToHoldRepeats)
            }
        }
    }
}
