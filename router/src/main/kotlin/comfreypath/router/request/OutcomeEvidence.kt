package comfreypath.router.request

import comfreypath.coordination.health.HealthEvidence
import comfreypath.coordination.verdict.AttemptOutcome
import comfreypath.coordination.verdict.UnknownReason
import io.netty.handler.codec.http.HttpResponseStatus

/** What this outcome of an attempt shows about the health of its endpoint. */
internal fun AttemptOutcome.toHealthEvidence(): HealthEvidence = when (this) {
    is AttemptOutcome.Answered ->
        if (status < HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) HealthEvidence.ANSWERED else HealthEvidence.FAILED
    is AttemptOutcome.NotRun -> HealthEvidence.FULL
    is AttemptOutcome.NotSent, AttemptOutcome.WrongEndpoint -> HealthEvidence.UNREACHABLE
    is AttemptOutcome.Unknown -> when (reason) {
        UnknownReason.TIMED_OUT -> HealthEvidence.SILENT
        UnknownReason.CONNECTION_LOST, UnknownReason.MALFORMED, UnknownReason.TRUNCATED -> HealthEvidence.LOST
    }
}
