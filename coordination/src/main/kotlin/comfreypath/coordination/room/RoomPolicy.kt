package comfreypath.coordination.room

import comfreypath.coordination.overload.Admission
import comfreypath.coordination.overload.ExpectedTimes
import comfreypath.coordination.overload.RefusalReason
import java.time.Duration
import java.time.Instant
import kotlin.math.exp

/** The greatest credit or debt of a flow, in mean requests of its kind. */
private const val MAX_CREDIT = 2.0

/** Requests of a kind differ in their work by at most this factor, either way. */
private const val MAX_SIZE_FACTOR = 4.0

private const val MIN_QUEUE = 0.05
private const val MAX_QUEUE = 0.5
private const val MIN_SERVED = 0.02

/** A caller may come back a little before it was told to, since clocks and links differ. */
private const val EARLY_RETURN_MILLISECONDS = 30L

/**
 * Decides which requests are sent to a service whose room is too small, and when the others should come back.
 *
 * Load patterns: rival teams, of which one offers many times its usual work; a surge of all; callers that retry at once
 * and often; a data centre lost at the peak; the return of a whole fleet after a loss of power.
 *
 * Nothing is refused while a place is free. Otherwise what can't be answered in time is refused at once. Of the rest,
 * as much work is turned away as is offered beyond the room: each router compares what it is offered with its share of
 * the slots (its part of all requests in progress), and corrects the difference by the queues of the endpoints, which
 * all routers know. [WorkShares] divides the room by priority and team. A flow that offers more than its share gets
 * credit for that share of each request and spends it on those that are sent; callers that come back as they were
 * told to may overdraw it, so that they go first. Those that would be late go last, whether they return or not.
 */
class RoomPolicy(private val options: RoomOptions = RoomOptions()) {
    /**
     * Decides whether [request] is sent at [now].
     *
     * @param times the expected times of a request of its kind
     */
    fun decide(
        state: RoomState,
        request: RoomRequest,
        room: ServiceRoom,
        times: ExpectedTimes,
        now: Instant,
    ): RoomDecision {
        val holdTime = times.holdTime ?: request.target.coerceAtLeast(options.minRetryAfter)
        val responseTime = (times.responseTime ?: holdTime).scaled(room.pace)
        val unit = holdTime.toMillis().coerceAtLeast(1).toDouble()
        val work = unit * state.sizeFactor(request)
        val waited = state.waited(request, now)
        val offered = state.withKind(request, request.target - responseTime, now)
            .withOffer(request.flow, work, now, options.memory)
        val meanWork = offered.meanWork(now, options.memory) ?: work
        val excess = excess(offered, room, meanWork, now)
        val elapsed = state.at?.let { maxOf(Duration.ZERO, Duration.between(it, now)) }
        val observed = observe(offered, elapsed, room, excess, meanWork)
        val returning = waited > Duration.ZERO && !state.isEarly(request, now)
        if (room.hasPlaceFor(request.jitter)) {
            val known = observed.withoutReturn(request.identity)
            return RoomDecision(known, Admission.Admitted, servedShare = 1.0, flowShare = 1.0, returning = returning)
        }
        val rates = observed.offeredRates(now, options.memory)
        val served = servedShare(observed, room, excess, rates.values.sum())
        val flow = request.flow.takeIf { it in rates } ?: request.flow.copy(team = null)
        val shares = WorkShares.divide(rates, served)
        val share = shares.getValue(flow)
        val wait = meanWork * room.pace * room.shortestQueue * notLessUrgent(rates, shares, request.priority)
        val earliest = responseTime.plusMillis(wait.toLong())
        val offer = Offer(request, FlowOffer(flow, share, rates.getValue(flow)), work, unit, waited, returning)
        val (next, admission) = if (earliest > request.timeLeft) {
            refuse(observed, offer, RefusalReason.TOO_LATE, now)
        } else {
            byCredit(observed, offer, late = waited + earliest > request.target, now)
        }
        val known = if (admission == Admission.Admitted) next.withoutReturn(request.identity) else next
        return RoomDecision(known, admission, served, share, returning)
    }

    /** The flow of a request, the part of its work that is served, and the work per time that it offers, in slots. */
    private class FlowOffer(val key: Flow, val share: Double, val rate: Double)

    /** A request with its work and the mean work of its kind, in milliseconds of a slot. */
    private class Offer(
        val request: RoomRequest,
        val flow: FlowOffer,
        val work: Double,
        val unit: Double,
        val waited: Duration,
        val returning: Boolean,
    )

    private fun byCredit(state: RoomState, offer: Offer, late: Boolean, now: Instant): Pair<RoomState, Admission> {
        val known = state.flows.getValue(offer.flow.key)
        val limit = MAX_CREDIT * offer.unit
        val credit = minOf(known.credit + offer.flow.share * offer.work, limit)
        val needed = when {
            late -> offer.unit
            offer.returning -> -limit
            else -> (offer.request.jitter - 1) / 2 * offer.unit
        }
        val admitted = offer.flow.share >= 1.0 || credit > needed
        val left = if (admitted) credit - offer.work else credit
        val next = state.copy(flows = state.flows.put(offer.flow.key, known.copy(credit = left)))
        return if (admitted) next to Admission.Admitted else refuse(next, offer, RefusalReason.OVER_SHARE, now)
    }

    /** Refuses a request until the earlier ones of its flow that were refused have had room. */
    private fun refuse(
        state: RoomState,
        offer: Offer,
        reason: RefusalReason,
        now: Instant
    ): Pair<RoomState, Admission> {
        val request = offer.request
        val known = state.flows.getValue(offer.flow.key)
        val latest = now + request.timeLeft.scaled(options.retryShareOfTimeLeft)
            .coerceIn(options.minRetryAfter, options.maxRetryAfter)
        val interval = Duration.ofMillis((offer.work / maxOf(offer.flow.rate * offer.flow.share, MIN_SERVED)).toLong())
        val first = maxOf(known.nextReturn, now + options.minRetryAfter)
        val spread = Duration.between(now, latest).scaled((1 + request.jitter) / 2)
        val due = if (first + interval <= latest) first + interval else now + spread
        // A caller that has come back too early keeps the time that it was told.
        val earlier = request.identity?.let { state.returns[it] }?.due?.takeIf { it > now }
        val told = minOf(earlier ?: due, latest)
        val flows = state.flows.put(offer.flow.key, known.copy(nextReturn = minOf(first + interval, latest)))
        val next = state.copy(flows = flows)
            .withReturn(request.identity, ExpectedReturn(now - offer.waited, told, now + request.timeLeft), now)
        return next to Admission.Refused(reason, Duration.between(now, told).coerceAtLeast(options.minRetryAfter))
    }

    /** The state after the [room] was seen; corrects what is turned away by the queues of the endpoints. */
    private fun observe(
        state: RoomState,
        elapsed: Duration?,
        room: ServiceRoom,
        excess: Double,
        meanWork: Double,
    ): RoomState {
        if (elapsed == null) return state.copy(own = room.own.toDouble(), fleet = room.load)
        val weight = 1 - exp(-elapsed.toMillis() / options.memory.toMillis().toDouble())
        val holdTimes = elapsed.toMillis() / meanWork
        val correction = state.correction + options.integralGain * minOf(holdTimes, 1.0) * excess
        return state.copy(
            own = state.own + weight * (room.own - state.own),
            fleet = state.fleet + weight * (room.load - state.fleet),
            correction = correction.coerceIn(-options.maxCorrection, options.maxCorrection),
        )
    }

    private fun servedShare(state: RoomState, room: ServiceRoom, excess: Double, offered: Double): Double {
        val ownPart = if (state.fleet > 0.0) (state.own / state.fleet).coerceIn(0.0, 1.0) else 1.0
        val byOffer = if (offered > 0.0) room.slots * ownPart / offered else 1.0
        val turnedAway = options.proportionalGain * excess + state.correction
        return (byOffer * (1 - turnedAway)).coerceIn(MIN_SERVED, 1.0)
    }

    /** The queued requests per slot above those that keep every kind on time; from -1 to 1. */
    private fun excess(state: RoomState, room: ServiceRoom, meanWork: Double, now: Instant): Double {
        val slack = state.kinds.values.filter { Duration.between(it.at, now) < options.memory }
            .minOfOrNull { it.slack } ?: Duration.ZERO
        val wanted = options.queueShareOfSlack * slack.toMillis() / meanWork
        return (room.queue - wanted.coerceIn(MIN_QUEUE, MAX_QUEUE)).coerceIn(-1.0, 1.0)
    }

    /** The part of the admitted work that endpoints which order by priority start before less urgent requests. */
    private fun notLessUrgent(rates: Map<Flow, Double>, shares: Map<Flow, Double>, priority: Int): Double {
        val admitted = rates.entries.map { it.key.priority to it.value * shares.getValue(it.key) }
        val all = admitted.sumOf { it.second }
        return if (all > 0.0) admitted.filter { it.first <= priority }.sumOf { it.second } / all else 1.0
    }

    private fun RoomState.sizeFactor(request: RoomRequest): Double {
        val mean = kinds[request.kind]?.size?.takeIf { it > 0.0 }
        val factor = if (mean == null || request.size == null) 1.0 else request.size / mean
        return factor.coerceIn(1 / MAX_SIZE_FACTOR, MAX_SIZE_FACTOR)
    }

    /** The time since the first attempt of the caller, if this router knows it or the budget tells it; else zero. */
    private fun RoomState.waited(request: RoomRequest, now: Instant): Duration {
        val expected = request.identity?.let { returns[it] }?.takeIf { it.until >= now }
        val usual = kinds[request.kind]?.budget ?: 0
        val byBudget = if (request.budget == null || usual == 0L) 0 else usual - request.budget.toMillis()
        return when {
            expected != null -> Duration.between(expected.since, now)
            byBudget >= options.minRetryAfter.toMillis() -> Duration.ofMillis(byBudget)
            else -> Duration.ZERO
        }
    }

    /** True if this router has told the caller to come back later than [now]. */
    private fun RoomState.isEarly(request: RoomRequest, now: Instant): Boolean =
        request.identity?.let { returns[it] }?.let { now.plusMillis(EARLY_RETURN_MILLISECONDS) < it.due } ?: false
}

private fun Duration.scaled(factor: Double): Duration = Duration.ofMillis((toMillis() * factor).toLong())
