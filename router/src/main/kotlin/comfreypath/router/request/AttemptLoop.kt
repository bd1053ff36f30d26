package comfreypath.router.request

import comfreypath.coordination.routing.Route
import comfreypath.coordination.verdict.AttemptOutcome
import comfreypath.coordination.verdict.RetryDecision
import comfreypath.coordination.verdict.RetryPolicy
import comfreypath.coordination.verdict.RetryState
import comfreypath.coordination.verdict.UnknownReason
import comfreypath.router.rollout.AttemptProbe
import comfreypath.router.sending.ConnectionUse
import comfreypath.router.sending.ResponseActivity
import comfreypath.router.sending.SendLimits
import comfreypath.router.sending.SendResult
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration

private const val MAX_REFUSALS = 3

private const val LOWEST_PRIORITY = 9

/** The priorities that engines accept; 0 is the most urgent. */
private val ENGINE_PRIORITIES = 0..LOWEST_PRIORITY

/** Sends one request to one endpoint after another until its caller can be given a result. */
internal class AttemptLoop(private val dependencies: RelayDependencies, private val exchange: CallerExchange) {
    private val context = dependencies.context
    private val request = exchange.request
    private val route = exchange.route
    private val retryPolicy = RetryPolicy(MAX_REFUSALS)
    private val log = RelayLog(context, request)
    private val targets = AttemptTargets(dependencies, exchange)
    private val stallWatch = StallWatch(dependencies, exchange, targets, log)
    private var state = RetryState(route, exchange.deadline)
    private var stream: StreamRelay? = null
    private var probe: AttemptProbe? = null
    private var connection: ConnectionUse? = null

    /** False once the caller has disconnected; no further attempt is made then. */
    var callerConnected = true

    /** Makes attempts until one of them decides the result. */
    suspend fun run(): RelayResult {
        var result: RelayResult? = null
        try {
            while (result == null) {
                // The parts of a stream that has begun are sound.
                val held = dependencies.trackers.evidence.takeIf { stream?.started != true }
                    ?.refusal(request, mayHaveRun = state.runs > 0)
                val selected =
                    if (callerConnected && held == null) targets.select(state) else SelectionResult.NoEndpoint
                result = when (selected) {
                    is SelectionResult.Selected -> tryEndpoint(selected.selection)
                    is SelectionResult.Overloaded ->
                        finish(retryPolicy.giveUp(state), rejection = RelayRefusals.overloaded(selected.admission))
                    is SelectionResult.AllOut -> {
                        val refusal = RelayRefusals.allOut(selected, state.timeLeft(context.now()), request.jitter)
                        log.allOut(route.name, selected, refusal.retryAfter)
                        finish(retryPolicy.giveUp(state), rejection = refusal)
                    }
                    is SelectionResult.AllLimited -> {
                        val refusal =
                            RelayRefusals.allLimited(selected, state.timeLeft(context.now()), request.jitter)
                        log.allLimited(route.name, selected, refusal.retryAfter)
                        finish(retryPolicy.giveUp(state), rejection = refusal)
                    }
                    SelectionResult.NoEndpoint ->
                        finish(retryPolicy.giveUp(state), rejection = held?.let(RelayRefusals::suspectedPart))
                }
            }
        } finally {
            targets.releaseReturn()
        }
        return result
    }

    /** Makes one attempt; returns null when another one follows. */
    private suspend fun tryEndpoint(selection: Selection): RelayResult? {
        if (targets.untried) {
            dependencies.trackers.retries.recordRequest(selection.endpoint.service)
        }
        targets.recordTried(selection.endpoint.name)
        dependencies.selector.recordAttempt(exchange, selection)
        val attempt = measuredAttempt(selection)
        val begun = stream?.started == true
        dependencies.trackers.evidence.attemptEnded(request, selection.endpoint, attempt.outcome, begun)
        if (attempt.outcome.leavesSilentEndpoint) targets.recordLeft(selection.endpoint.name)
        if (attempt.outcome == AttemptOutcome.Withheld) {
            targets.recordWithheld(selection.endpoint.name)
            dependencies.trackers.recordWithheld(selection.endpoint, route, context.now())
        }
        val (next, decision) = decide(selection, attempt.outcome)
        state = next
        recordAttempt(selection, attempt.outcome, decision)
        return if (decision == RetryDecision.TryAnother) null else finish(decision, attempt.result)
    }

    /** Makes an attempt and counts it as in flight. Its duration is recorded unless it waited for a slot. */
    private suspend fun measuredAttempt(selection: Selection): CompletedAttempt {
        val service = selection.endpoint.service
        val entry = dependencies.trackers.endpoints.entry(selection.endpoint.name)
        val sentAt = context.now()
        dependencies.trackers.progress.recordStart(service, exchange.team)
        entry.inFlight += 1
        val measured = dependencies.trackers.rollouts
            .probe(selection.endpoint, exchange, selection.pace ?: 1.0)
            .also { probe = it }
        var outcome: AttemptOutcome? = null
        try {
            val activity = stallWatch.activity(selection)
            val attempt = stallWatch.run(selection, state, activity) { attempt(selection, activity) }
            connection = activity.connection
            outcome = attempt.outcome
            val answered = attempt.outcome is AttemptOutcome.Answered
            if (answered && selection.load < selection.endpoint.slots) {
                val now = context.now()
                val held = Duration.between(sentAt, now)
                val firstByte = exchange.firstByteAt?.let { Duration.between(sentAt, it) } ?: held
                dependencies.trackers.progress.recordTimes(service, route.name, firstByte, held)
            }
            return attempt
        } finally {
            measured.end(outcome)
            entry.inFlight -= 1
            dependencies.trackers.progress.recordEnd(service, exchange.team)
        }
    }

    /**
     * Decides the next step after [outcome], and acquires the retry that it needs. A retry after an attempt that never
     * reached a server costs nothing. A request that has left a silent endpoint returns to it as the last resort.
     */
    private fun decide(selection: Selection, outcome: AttemptOutcome): Pair<RetryState, RetryDecision> {
        val now = context.now()
        val ifAllowed = retryPolicy.decide(state, outcome, now, mayRetry = true)
        val retries = ifAllowed.second == RetryDecision.TryAnother
        val free =
            outcome.leavesSilentEndpoint || outcome is AttemptOutcome.NotSent || outcome == AttemptOutcome.Withheld
        return when {
            retries && (free || dependencies.trackers.retries.tryAcquire(selection.endpoint.service)) -> ifAllowed
            retryPolicy.mayReturn(ifAllowed.first, outcome, now) && targets.acquireReturn() ->
                ifAllowed.first to RetryDecision.TryAnother
            retries -> retryPolicy.decide(state, outcome, now, mayRetry = false)
            else -> ifAllowed
        }
    }

    private fun recordAttempt(selection: Selection, outcome: AttemptOutcome, decision: RetryDecision) {
        if (outcome.unanswered) dependencies.trackers.dataCentres.recordUnanswered(selection.endpoint)
        outcome.toHealthEvidence()?.let { dependencies.trackers.endpoints.observe(selection.endpoint.name, it) }
        context.metrics.attempts.labelValues(outcome.javaClass.simpleName).inc()
        val action = decision.javaClass.simpleName
        log.attemptEnded(exchange, EndedAttempt(selection, connection, outcome, action, stream?.lastEventId))
    }

    private fun finish(
        decision: RetryDecision,
        result: RelayResult? = null,
        rejection: Refusal? = null,
    ): RelayResult = when {
        result is RelayResult.Streamed -> result
        stream?.started == true -> {
            // A stream that has begun can't be replaced by a whole response or a refusal.
            log.streamBrokenOff(state, stream?.lastEventId, result)
            RelayResult.Streamed(complete = false)
        }
        result != null && decision == RetryDecision.Deliver -> result
        decision == RetryDecision.FailMayHaveRun -> refused(RelayRefusals.mayHaveRun(state))
        rejection != null -> refused(rejection)
        else -> refused(RelayRefusals.notRun(state, context.now(), request.jitter))
    }

    private fun refused(refusal: Refusal): RelayResult {
        dependencies.invariants.checkRefusal(request, state, refusal)
        return RelayResult.Refused(refusal)
    }

    private suspend fun attempt(selection: Selection, activity: ResponseActivity): CompletedAttempt {
        dependencies.invariants.checkSend(request, state, selection.endpoint)
        val plan = SendPlan(
            endpoint = selection.endpoint,
            timeLeft = state.timeLeft(context.now()),
            team = exchange.team,
            priority = exchange.priority.coerceIn(ENGINE_PRIORITIES),
            lastEventId = stream?.lastEventId ?: request.lastEventId,
            cacheSource = selection.cacheSource,
            traceParent = exchange.traceParent,
        )
        val limits = SendLimits(
            repeatable = route.repeatable,
            deadline = state.deadline,
            wanted = { callerConnected },
            accepted = { dependencies.selector.accepts(selection) },
        )
        val sent = dependencies.sender.send(request, plan, limits, activity)
        return when (sent) {
            is SendResult.Failed -> CompletedAttempt(sent.outcome)
            is SendResult.Responding -> {
                sent.head.load?.pace?.let { probe?.recordMachinePace(it) }
                val reason = sent.head.unusableReason(route)
                if (reason == null) {
                    readResponse(selection, sent)
                } else {
                    sent.exchange.close()
                    CompletedAttempt(AttemptOutcome.Unknown(reason))
                }
            }
        }
    }

    private fun newStreamRelay(head: EndpointResponseHead) = StreamRelay(
        exchange = exchange,
        format = dependencies.streams,
        head = head,
        onStart = {
            exchange.firstByteAt = context.now()
            dependencies.trackers.evidence.answerBegan(request)
        },
        onEvents = { probe?.recordEvents(it) },
    )

    private suspend fun readResponse(selection: Selection, sent: SendResult.Responding): CompletedAttempt {
        dependencies.invariants.checkResponse(request, sent.head)
        if (!sent.head.notRun) targets.releaseReturn()
        val isStream = route.streaming && sent.head.status == HttpResponseStatus.OK.code()
        var reusable = false
        try {
            val attempt = withTimeoutOrNull(state.timeLeft(context.now()).toMillis()) {
                if (isStream) {
                    val relay = stream?.takeIf { it.started } ?: newStreamRelay(sent.head)
                    stream = relay
                    ResponseReader.relayStream(relay, sent)
                } else {
                    ResponseReader.readFully(selection.endpoint, sent, exchange.memory.response)
                }
            }
            reusable = attempt?.connectionReusable ?: false
            return attempt ?: CompletedAttempt(AttemptOutcome.Unknown(UnknownReason.TIMED_OUT))
        } finally {
            if (reusable) sent.exchange.complete(sent.head.idleTimeout) else sent.exchange.close()
        }
    }
}

/** Why a response on [route] must not reach the caller; null if it may. */
private fun EndpointResponseHead.unusableReason(route: Route): UnknownReason? = when {
    // A faulty server may send bytes that look like a success.
    !genuine -> UnknownReason.MALFORMED
    unmarkedRefusal && !route.repeatable -> UnknownReason.UNMARKED_REFUSAL
    else -> null
}
