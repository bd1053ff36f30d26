package comfreypath.router.evidence

import comfreypath.coordination.evidence.Crash
import comfreypath.coordination.evidence.PartAdmission
import comfreypath.coordination.evidence.PartAdmissionPolicy
import comfreypath.coordination.evidence.PartEvidence
import comfreypath.coordination.evidence.PartEvidenceAction
import comfreypath.coordination.evidence.PartEvidenceEvent
import comfreypath.coordination.evidence.PartEvidenceState
import comfreypath.coordination.evidence.TrialCandidates
import comfreypath.router.RouterContext
import comfreypath.router.peers.PeerGossip

/** Keeps the evidence on prompt parts that crash endpoints, shares it with peers, and decides what may be sent. */
internal class PartGuard(private val context: RouterContext, private val peers: PeerGossip) {
    private val evidence = PartEvidence()
    private var state = PartEvidenceState()

    /** Begins to exchange reports with peers. */
    fun start() {
        peers.partReports = { evidence.reports(state, context.now()) }
        peers.onPartReports = { from, reports -> step(PartEvidenceEvent.ReportsReceived(from, reports)) }
    }

    /**
     * Decides whether a request whose prompt has [parts], without the last one, may be sent. Returns null if it may.
     * A [repeat] may have run before.
     */
    fun refusal(parts: List<Long>, repeat: Boolean): PartAdmission.Refused? {
        if (state.parts.isEmpty()) {
            return null
        }
        step(PartEvidenceEvent.Tick)
        val candidates = TrialCandidates(context.options.name, peers.names)
        val admission = PartAdmissionPolicy(state, candidates, context.now()).admit(parts, repeat)
        if (admission is PartAdmission.Trial) {
            context.log.record("part_trial", "part" to partText(admission.part))
            step(PartEvidenceEvent.TrialStarted(admission.part))
        }
        return admission as? PartAdmission.Refused
    }

    /** A response to a request with [parts] has begun. */
    fun answerBegan(parts: List<Long>) = step(PartEvidenceEvent.AnswerBegan(parts))

    /** An attempt with [parts] ended before a response began; [sent] is false if it did not reach an endpoint. */
    fun unanswered(parts: List<Long>, sent: Boolean) =
        parts.filter { state.parts[it]?.quarantine?.trialAt != null }
            .forEach { step(PartEvidenceEvent.TrialEnded(it, sent)) }

    /** An endpoint has crashed with requests in flight that have [parts]. */
    fun crashed(crash: Crash, parts: Set<Long>) = step(PartEvidenceEvent.EndpointCrashed(crash, parts))

    private fun step(event: PartEvidenceEvent) {
        val next = evidence.step(state, event, context.now())
        state = next.state
        next.actions.forEach(::perform)
    }

    private fun perform(action: PartEvidenceAction) {
        when (action) {
            is PartEvidenceAction.Announce -> peers.announceUpdate(action.toAll)
            is PartEvidenceAction.Suspected -> context.log.record(
                "part_suspected",
                "part" to partText(action.part),
                "moments" to action.moments,
                "crashes" to action.crashes,
                "from" to action.from,
            )
            is PartEvidenceAction.Quarantined -> context.log.record(
                "part_quarantined",
                "part" to partText(action.part),
                "crashes" to action.crashes,
                "failedTrials" to action.failures,
                "answeredBeforeMs" to action.answeredBefore?.toMillis(),
                "forMs" to action.duration.toMillis(),
                "from" to action.from,
            )
            is PartEvidenceAction.Cleared -> context.log.record(
                "part_cleared",
                "part" to partText(action.part),
                "crashes" to action.crashes,
                "quarantined" to action.wasQuarantined,
                "from" to action.from,
            )
        }
        context.metrics.quarantinedParts.set(state.quarantined.toDouble())
    }
}
