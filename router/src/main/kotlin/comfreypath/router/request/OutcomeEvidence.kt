package comfreypath.router.request

import comfreypath.coordination.health.HealthEvidence
import comfreypath.coordination.rollout.AttemptResult
import comfreypath.coordination.verdict.AttemptOutcome
import comfreypath.coordination.verdict.UnknownReason
import io.netty.handler.codec.http.HttpResponseStatus

/** True if the request left its endpoint because that was silent, after another one had been reserved. */
internal val AttemptOutcome.leavesSilentEndpoint: Boolean
    get() = this is AttemptOutcome.Unknown && (reason == UnknownReason.STALLED || reason == UnknownReason.SLOW)

/** What this outcome of an attempt shows about the health of its endpoint; null if it shows nothing. */
internal fun AttemptOutcome.toHealthEvidence(): HealthEvidence? = when (this) {
    is AttemptOutcome.Answered ->
        if (status < HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) HealthEvidence.ANSWERED else HealthEvidence.FAILED
    is AttemptOutcome.NotRun -> HealthEvidence.FULL
    is AttemptOutcome.NotSent -> HealthEvidence.UNREACHABLE.takeIf { endpointFailed }
    AttemptOutcome.WrongEndpoint -> HealthEvidence.UNREACHABLE
    AttemptOutcome.Withheld -> null
    is AttemptOutcome.Unknown -> when (reason) {
        UnknownReason.TIMED_OUT, UnknownReason.STALLED -> HealthEvidence.SILENT
        UnknownReason.SLOW, UnknownReason.OUT_OF_MEMORY -> null
        UnknownReason.UNIDENTIFIED_REFUSAL -> HealthEvidence.FULL
        UnknownReason.UNMARKED_REFUSAL -> HealthEvidence.FAILED
        UnknownReason.FRAMING_TOO_LONG,
        UnknownReason.TOO_MANY_INTERIM_RESPONSES,
        UnknownReason.TOO_MUCH_FOREIGN,
        UnknownReason.BODY_TOO_LONG,
        UnknownReason.EVENT_TOO_LONG,
        UnknownReason.NO_CONTINUATION,
        -> HealthEvidence.LOST
        UnknownReason.CONNECTION_LOST, UnknownReason.MALFORMED, UnknownReason.TRUNCATED -> HealthEvidence.LOST
    }
}

/** True if the endpoint could not be reached, or sent nothing, so that its data centre may be out. */
internal val AttemptOutcome.unanswered: Boolean
    get() = when (this) {
        is AttemptOutcome.NotSent -> endpointFailed
        is AttemptOutcome.Unknown -> reason == UnknownReason.STALLED || reason == UnknownReason.TIMED_OUT
        else -> false
    }

/** What this outcome of an attempt shows about the version of its endpoint; null if nothing. */
internal fun AttemptOutcome.toAttemptResult(): AttemptResult? = when (this) {
    is AttemptOutcome.Answered ->
        if (status < HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) AttemptResult.ANSWERED else AttemptResult.FAILED
    is AttemptOutcome.Unknown -> AttemptResult.LOST.takeIf { reason != UnknownReason.UNIDENTIFIED_REFUSAL }
    is AttemptOutcome.NotRun, is AttemptOutcome.NotSent, AttemptOutcome.WrongEndpoint, AttemptOutcome.Withheld -> null
}
