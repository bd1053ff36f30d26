package comfreypath.router.evidence

import comfreypath.coordination.evidence.PartAdmission
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.verdict.AttemptOutcome
import comfreypath.coordination.verdict.UnknownReason
import comfreypath.router.RouterContext
import comfreypath.router.peers.PeerGossip
import comfreypath.router.request.CallerRequest
import comfreypath.router.sending.EndpointTracker
import comfreypath.router.view.EndpointView
import comfreypath.transport.HttpConnector
import io.netty.handler.codec.http.HttpStatusClass

/** Derives evidence on prompt parts from the attempts of requests, and holds back requests with a suspected part. */
class AttemptEvidence(
    private val context: RouterContext,
    connector: HttpConnector,
    tracker: EndpointTracker,
    endpoints: EndpointView,
    peers: PeerGossip,
) {
    private val guard = PartGuard(context, peers)
    private val watcher = CrashWatcher(
        context = context,
        connector = connector,
        endpoints = tracker,
        isDraining = { name -> endpoints.entries.values[name.text]?.draining ?: false },
        onCrash = guard::crashed,
    )

    /** Begins to exchange evidence with peers. */
    fun start() = guard.start()

    /** Returns why [request] must not be sent, or null if it may; [mayHaveRun] is whether it was sent before. */
    fun refusal(request: CallerRequest, mayHaveRun: Boolean): PartAdmission.Refused? {
        val refusal = guard.refusal(request.sharedParts(), repeat = mayHaveRun)
        if (refusal != null) {
            context.log.record(
                "request_held",
                "request" to request.id,
                "part" to partText(refusal.part),
                "moments" to refusal.moments,
                "mayHaveRun" to mayHaveRun,
            )
        }
        return refusal
    }

    /** True if [request], which may have run, must not be sent again. */
    fun mustNotRepeat(request: CallerRequest): Boolean = guard.refusal(request.sharedParts(), repeat = true) != null

    /** The first event of the response to [request] has arrived. */
    fun answerBegan(request: CallerRequest) {
        val parts = request.sharedParts()
        if (parts.isNotEmpty()) {
            guard.answerBegan(parts)
        }
    }

    /** An attempt of [request] at [endpoint] has ended; [begun] is whether any attempt has brought a first event. */
    fun attemptEnded(request: CallerRequest, endpoint: Endpoint, outcome: AttemptOutcome, begun: Boolean) {
        val parts = request.sharedParts()
        if (parts.isEmpty() || begun) {
            return
        }
        when (outcome) {
            is AttemptOutcome.Answered ->
                if (HttpStatusClass.valueOf(outcome.status) == HttpStatusClass.SUCCESS) guard.answerBegan(parts)
            is AttemptOutcome.NotSent, AttemptOutcome.Withheld -> guard.unanswered(parts, sent = false)
            is AttemptOutcome.Unknown -> if (outcome.reason == UnknownReason.CONNECTION_LOST) {
                watcher.connectionLost(endpoint, parts)
                guard.unanswered(parts, sent = true)
            }
            is AttemptOutcome.NotRun, AttemptOutcome.WrongEndpoint -> Unit
        }
    }

    private fun CallerRequest.sharedParts(): List<Long> = prompt?.sharedPartIds.orEmpty()
}
