package comfreypath.coordination.evidence

import comfreypath.coordination.Step
import java.time.Instant

/**
 * Finds the prompt parts that crash endpoints.
 *
 * Each crash counts against every part of the requests to which the endpoint had not begun to respond. Any later
 * response to a request with the part, from any router, clears it. Parts that sound requests share are thus cleared
 * many times a second, and only a part that crashes every endpoint reaches the limit.
 */
class PartEvidence(private val options: PartEvidenceOptions = PartEvidenceOptions()) {
    /** Returns the state after [event] and the actions to perform. */
    fun step(
        state: PartEvidenceState,
        event: PartEvidenceEvent,
        now: Instant,
    ): Step<PartEvidenceState, PartEvidenceAction> {
        val draft = PartEvidenceDraft(state, options, now)
        val crashes = PartCrashes(draft)
        val quarantines = PartQuarantines(draft)
        when (event) {
            is PartEvidenceEvent.AnswerBegan -> event.parts.forEach { crashes.answer(it) }
            is PartEvidenceEvent.EndpointCrashed -> crashes.crash(event.crash, event.parts)
            is PartEvidenceEvent.ReportsReceived -> event.reports.forEach { crashes.report(it, event.from) }
            PartEvidenceEvent.Tick -> quarantines.addSuspects()
            is PartEvidenceEvent.TrialStarted -> quarantines.update(event.part) { it.copy(trialAt = now) }
            is PartEvidenceEvent.TrialEnded ->
                if (event.sent) {
                    quarantines.failTrial(event.part)
                } else {
                    quarantines.update(event.part) { it.copy(trialAt = null) }
                }
        }
        if (draft.state.parts !== state.parts) {
            draft.state = PartBounds.prune(draft.state, options, now)
        }
        return draft.result()
    }

    /** The reports for the next status message, the most suspected parts first. */
    fun reports(state: PartEvidenceState, now: Instant): List<PartReport> =
        PartReports.select(state, options, now)
}
