package comfreypath.coordination.evidence

import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import java.time.Duration
import java.time.Instant

/** Whether a request may be sent, as far as the parts of its prompt are concerned. */
sealed interface PartAdmission {
    /** It may be sent. */
    data object Admitted : PartAdmission

    /** It may be sent as the trial of a quarantined [part]. */
    data class Trial(val part: Long) : PartAdmission

    /** It must not be sent because of [part]; [retryAfter] is when that may change. */
    data class Refused(val part: Long, val moments: Int, val retryAfter: Duration) : PartAdmission
}

/** The routers among which one makes the next trial of a part: [self] and its live [peers]. */
data class TrialCandidates(val self: InstanceName, val peers: Collection<InstanceName>) {
    /** True if this router ranks first for [key] by rendezvous hashing. */
    fun selfOwns(key: Long): Boolean {
        val own = mix(key, hashOf(self.text))
        return peers.none { mix(key, hashOf(it.text)) > own }
    }
}

/** Decides at one moment, [now], whether requests may be sent by the evidence on their parts. */
class PartAdmissionPolicy(
    private val state: PartEvidenceState,
    private val candidates: TrialCandidates,
    private val now: Instant,
    private val options: PartEvidenceOptions = PartEvidenceOptions(),
) {
    /** Decides on a request whose prompt has [parts], without the last one; a [repeat] may have run before. */
    fun admit(parts: List<Long>, repeat: Boolean): PartAdmission {
        val suspected = parts.filter { !state.parts[it]?.crashes.isNullOrEmpty() }
        val decisions = suspected.map { decide(it, state.parts.getValue(it), repeat, others = suspected.size - 1) }
        return decisions.firstOrNull { it is PartAdmission.Refused }
            ?: decisions.firstOrNull { it is PartAdmission.Trial }
            ?: PartAdmission.Admitted
    }

    /** A trial fails for a sound part if one of the [others] crashes the endpoint. */
    private fun decide(part: Long, suspicion: PartSuspicion, repeat: Boolean, others: Int): PartAdmission {
        val quarantine = suspicion.quarantine
        return when {
            quarantine != null && !repeat && others == 0 && isTrialDue(part, quarantine) -> PartAdmission.Trial(part)
            quarantine != null -> refusal(part, suspicion, Duration.between(now, quarantine.until))
            repeat && suspicion.moments(options) >= options.momentsToHoldRepeats ->
                refusal(part, suspicion, MIN_RETRY_AFTER)
            else -> PartAdmission.Admitted
        }
    }

    /** The owner changes after a time, as it may receive no request with the part. */
    private fun isTrialDue(part: Long, quarantine: PartQuarantine): Boolean {
        val isPending = quarantine.trialAt != null && now < quarantine.trialAt + options.trialTimeout
        val turn = Duration.between(quarantine.until, now).dividedBy(options.ownerRotation)
        return now >= quarantine.until && !isPending && candidates.selfOwns(mix(part, turn))
    }

    private fun refusal(part: Long, suspicion: PartSuspicion, left: Duration) =
        PartAdmission.Refused(part, suspicion.moments(options), left.coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER))

    private companion object {
        val MIN_RETRY_AFTER: Duration = Duration.ofSeconds(1)
        val MAX_RETRY_AFTER: Duration = Duration.ofSeconds(60)
    }
}

/** The number of separate moments at which endpoints crashed with a request that has the part. */
internal fun PartSuspicion.moments(options: PartEvidenceOptions): Int = crashes.moments(options.sameMoment).size
