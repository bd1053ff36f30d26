package comfreypath.coordination.evidence

import comfreypath.coordination.Step
import java.time.Instant

/** Accumulates the changes and the actions of one step of [PartEvidence]. */
internal class PartEvidenceDraft(
    var state: PartEvidenceState,
    val options: PartEvidenceOptions,
    val now: Instant,
) {
    private val actions = ArrayList<PartEvidenceAction>()
    private var announcement: PartEvidenceAction.Announce? = null

    fun put(part: Long, suspicion: PartSuspicion) {
        state = state.copy(parts = state.parts.put(part, suspicion))
    }

    fun emit(action: PartEvidenceAction) {
        actions += action
    }

    /** Announces the changes of the step once, to all peers if one of them needs it. */
    fun announce(toAll: Boolean) {
        announcement = PartEvidenceAction.Announce(toAll || announcement?.toAll == true)
    }

    fun result(): Step<PartEvidenceState, PartEvidenceAction> = Step(state, actions + listOfNotNull(announcement))
}
