package comfreypath.router.request

import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.overload.Admission
import comfreypath.coordination.overload.AdmissionRequest
import comfreypath.coordination.overload.FirstEventTimeout
import comfreypath.coordination.overload.Occupancy
import comfreypath.coordination.overload.OverloadPolicy
import comfreypath.coordination.overload.RefusalReason
import comfreypath.coordination.placement.Candidate
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import comfreypath.coordination.room.EndpointLoad
import comfreypath.coordination.room.RoomDecision
import comfreypath.coordination.room.RoomPolicy
import comfreypath.coordination.room.RoomRequest
import comfreypath.coordination.room.RoomState
import comfreypath.coordination.room.ServiceRoom
import comfreypath.coordination.routing.Prompt
import comfreypath.coordination.verdict.RetryAfterPolicy
import comfreypath.router.RouterContext
import comfreypath.router.sending.ServiceProgress
import java.time.Duration
import java.time.Instant

/** The work to generate a token relative to reading one. */
private const val OUTPUT_TOKEN_COST = 10.0

/** Whether a request is sent to its service now, by the room at the service's endpoints. */
internal class ServiceAdmission(
    private val context: RouterContext,
    private val progress: ServiceProgress,
    private val peers: LivePeers,
) {
    private val overload = OverloadPolicy()
    private val roomPolicy = RoomPolicy()
    private val rooms = HashMap<ServiceName, RoomState>()

    /**
     * Decides whether [exchange] is sent to one of the [candidates] of [service].
     *
     * By priority, deadline and work ([RoomPolicy]) if the endpoints tell the pace of their machines, except for
     * requests that were admitted before; else by time left and number of requests ([OverloadPolicy]).
     */
    fun admit(exchange: CallerExchange, service: ServiceName, candidates: List<Candidate>): Admission =
        if (!exchange.offered && candidates.any { it.tellsPace }) {
            byRoom(exchange, service, candidates)
        } else {
            byRequests(exchange, service, candidates)
        }

    private fun byRoom(exchange: CallerExchange, service: ServiceName, candidates: List<Candidate>): Admission {
        val room = ServiceRoom.of(
            endpoints = candidates.map { EndpointLoad(it.estimate.expected, it.endpoint.slots) },
            own = progress.inProgress(service),
            peers = peers.names.size,
            reportAge = peers.loadsAge,
            pace = candidates.sumOf { it.pace } / candidates.size,
        )
        val decision = roomPolicy.decide(
            state = rooms[service] ?: RoomState(),
            request = exchange.roomRequest(context.now()),
            room = room,
            times = progress.kindTimes(exchange.route),
            now = context.now(),
        )
        rooms[service] = decision.state
        record(exchange, room, decision)
        return decision.admission
    }

    private fun record(exchange: CallerExchange, room: ServiceRoom, decision: RoomDecision) {
        val refused = decision.admission as? Admission.Refused ?: return
        context.metrics.roomRefused.labelValues(exchange.route.name, refused.reason.name.lowercase()).inc()
        context.log.record(
            "room_refused",
            "request" to exchange.request.id,
            "route" to exchange.route.name,
            "team" to exchange.team,
            "priority" to exchange.priority,
            "reason" to refused.reason.name.lowercase(),
            "servedShare" to decision.servedShare,
            "teamShare" to decision.flowShare,
            "returning" to decision.returning,
            "load" to room.load,
            "slots" to room.slots,
            "loadsAgeMs" to peers.loadsAge.toMillis(),
            "retryAfterMs" to refused.retryAfter.toMillis(),
        )
    }

    private fun byRequests(exchange: CallerExchange, service: ServiceName, candidates: List<Candidate>): Admission {
        val now = context.now()
        val route = exchange.route
        return overload.admit(
            request = AdmissionRequest(
                team = exchange.team,
                timeLeft = exchange.patience(now),
                jitter = exchange.request.jitter,
            ),
            endpoints = candidates.asSequence().map { Occupancy(it.load, it.endpoint.slots) },
            times = progress.expectedTimes(service, route.name),
            inProgress = progress.inProgressByTeam(service),
        )
    }

    /** The refusal while all endpoints return from a pause and have as many requests of this router as they should. */
    fun whileReturning(exchange: CallerExchange): Admission.Refused {
        val timeLeft = Duration.between(context.now(), exchange.deadline)
        return Admission.Refused(
            RefusalReason.RETURNING,
            RetryAfterPolicy.whenAllAreOut(untilFirstReturn = Duration.ZERO, timeLeft, exchange.request.jitter),
        )
    }
}

/** How long the caller still waits for the response, or for the first event of a stream. */
private fun CallerExchange.patience(now: Instant): Duration {
    val timeLeft = Duration.between(now, deadline)
    val timeToFirstEvent = Duration.between(now, request.receivedAt + FirstEventTimeout.of(route))
    return if (route.streaming) minOf(timeLeft, timeToFirstEvent) else timeLeft
}

private fun CallerExchange.roomRequest(now: Instant) = RoomRequest(
    kind = route.name,
    team = team,
    priority = priority,
    size = request.prompt?.size,
    timeLeft = patience(now),
    target = route.latencyTarget,
    budget = request.timeBudget,
    identity = request.prompt?.parts?.lastOrNull()?.let { mix(it.prefixId, hashOf(route.name + team?.text.orEmpty())) },
    jitter = request.jitter,
)

private val Prompt.size: Double
    get() = promptTokens + OUTPUT_TOKEN_COST * minOf(expectedOutputTokens ?: maxOutputTokens, maxOutputTokens)
