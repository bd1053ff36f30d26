package comfreypath.coordination.evidence

import comfreypath.coordination.model.InstanceName
import java.time.Duration

/** Input of [PartEvidence]. */
sealed interface PartEvidenceEvent {
    /** A response began to a request whose prompt has [parts], without the last one. */
    data class AnswerBegan(val parts: List<Long>) : PartEvidenceEvent

    /**
     * An endpoint crashed with requests to which no response had begun.
     *
     * @property parts the parts of their prompts, without the last one of each
     */
    data class EndpointCrashed(val crash: Crash, val parts: Set<Long>) : PartEvidenceEvent

    /** [reports] arrived from a peer. */
    data class ReportsReceived(val from: InstanceName, val reports: List<PartReport>) : PartEvidenceEvent

    /** Time has passed. */
    data object Tick : PartEvidenceEvent

    /** This router sends a request with a quarantined [part] as a trial. */
    data class TrialStarted(val part: Long) : PartEvidenceEvent

    /** The trial of [part] ended without a response; [sent] is false if it has not reached an endpoint. */
    data class TrialEnded(val part: Long, val sent: Boolean) : PartEvidenceEvent
}

/** Output of [PartEvidence], to be performed by the router. */
sealed interface PartEvidenceAction {
    /** Tell peers soon; [toAll] to tell every peer, otherwise a random few. */
    data class Announce(val toAll: Boolean) : PartEvidenceAction

    /** A further crash counts against [part]; [from] is the peer that reported it, null for this router. */
    data class Suspected(
        val part: Long,
        val moments: Int,
        val crashes: Int,
        val from: InstanceName?,
    ) : PartEvidenceAction

    /**
     * [part] was quarantined.
     *
     * @property answeredBefore time since the latest known response to a request with the part; null if there is none
     * @property duration time until a trial is due
     * @property from the peer that reported the quarantine; null if this router decided it
     */
    data class Quarantined(
        val part: Long,
        val crashes: Int,
        val failures: Int,
        val answeredBefore: Duration?,
        val duration: Duration,
        val from: InstanceName?,
    ) : PartEvidenceAction

    /** A response cleared [part] of [crashes] crashes; [from] is the peer that reported it, null for this router. */
    data class Cleared(
        val part: Long,
        val crashes: Int,
        val wasQuarantined: Boolean,
        val from: InstanceName?,
    ) : PartEvidenceAction
}
