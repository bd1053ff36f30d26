package comfreypath.coordination.overload

import comfreypath.coordination.availability.Availability
import comfreypath.coordination.availability.AvailabilityEvent
import comfreypath.coordination.availability.AvailabilityPolicy
import comfreypath.coordination.availability.EndpointAnnouncements
import comfreypath.coordination.availability.FleetPosition
import comfreypath.coordination.availability.RecoveryLimits
import comfreypath.coordination.availability.incarnation
import comfreypath.coordination.fleet.InFlight
import comfreypath.coordination.health.HealthEvidence
import comfreypath.coordination.health.HealthFilter
import comfreypath.coordination.health.HealthState
import comfreypath.coordination.health.OutlierDetector
import comfreypath.coordination.limits.RetryBounds
import comfreypath.coordination.limits.RetryBudget
import comfreypath.coordination.placement.Candidate
import comfreypath.coordination.placement.LoadExchange
import comfreypath.coordination.placement.LoadProjection
import comfreypath.coordination.placement.LoadReports
import comfreypath.coordination.placement.Placement
import comfreypath.coordination.placement.ReportedLoad
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.testRoute
import comfreypath.coordination.verdict.AttemptOutcome
import comfreypath.coordination.verdict.RetryDecision
import comfreypath.coordination.verdict.RetryPolicy
import comfreypath.coordination.verdict.RetryState
import java.time.Duration
import java.time.Instant

/** A request of a caller at one router, and the servers that have refused it. Times are in milliseconds. */
internal class PausedRequest(val number: Int, val router: Int, val sentAt: Int, val deadline: Int, val salt: Long) {
    /** The attempts so far. */
    var state = RetryState(testRoute(), instant(deadline))

    /** The servers that were tried. */
    val tried = HashSet<Int>()
}

private fun instant(milliseconds: Int): Instant = Instant.ofEpochMilli(milliseconds.toLong())

/** Decides as `EndpointSelector` and `AttemptLoop` do for plain requests. Times are in milliseconds. */
internal class PauseRouter(
    private val number: Int,
    private val plan: PausePlan,
    private val endpoints: List<Endpoint>,
    private val exchange: LoadExchange,
    private val policy: AvailabilityPolicy?,
) {
    private val hashes = endpoints.map { hashOf(it.name.text) }
    private val sendTimes = List(endpoints.size) { ArrayDeque<Int>() }
    private val health = MutableList(endpoints.size) { HealthState() }
    private val outlierDetector = OutlierDetector()
    private val retryPolicy = RetryPolicy(MAX_REFUSALS)
    private val admission = OverloadPolicy()
    private val limits = RecoveryLimits()
    private var announcements = EndpointAnnouncements()
    private var budget = RetryBudget()

    /** This router's requests in flight, by server. */
    val inFlight = IntArray(endpoints.size)

    /** Selects the server for the next attempt of [request]; null if it is refused. */
    fun select(request: PausedRequest, now: Int): Int? {
        val accepting = endpoints.indices.filter { it !in request.tried && availability(it, now).allowsRequests }
        val usable = HealthFilter.usable(withinLimits(accepting, now), instant(now)) { health[it] }
        val candidates = candidates(usable, now)
        val admitted = admission.admit(
            AdmissionRequest(null, Duration.ofMillis((request.deadline - now).toLong()), jitter = 0.0),
            candidates.asSequence().map { Occupancy(it.load, it.endpoint.slots) },
            ExpectedTimes(WORK, WORK),
            emptyMap(),
        )
        val placed = Placement.byLoad(candidates, endpoints.first().dataCentre, request.salt)
        return placed?.takeIf { admitted == Admission.Admitted }?.let { endpoints.indexOf(it.endpoint) }
    }

    private fun availability(server: Int, now: Int): Availability =
        policy?.availability(announcements, endpoints[server].incarnation, instant(now)) ?: Availability.Open

    private fun withinLimits(servers: List<Int>, now: Int): List<Int> {
        val indexes = servers.associateBy { endpoints[it] }
        val fleet = FleetPosition(number, plan.routers)
        return limits.withRoom(
            servers.map { endpoints[it] },
            fleet,
            availability = { availability(indexes.getValue(it), now) },
            inFlight = { inFlight[indexes.getValue(it)] },
        ).map(indexes::getValue)
    }

    private fun candidates(servers: List<Int>, now: Int): List<Candidate> {
        fun sent(server: Int, ago: Duration) =
            sendTimes[server].asReversed().takeWhile { it > now - ago.toMillis() }.size
        val reports = LoadReports(plan.routers - 1, exchange.age(number, now), WORK)
        val window = LoadProjection.window(reports, servers.size) { ago -> servers.sumOf { sent(it, ago) } }
        val recent = servers.map { sent(it, window) }
        val projection = LoadProjection(reports, window, recent.sum(), servers.size)
        return servers.mapIndexed { index, server ->
            val atPeers = exchange.atPeers(number, InFlight.key(hashes[server]), now)
            val load = ReportedLoad(inFlight[server], atPeers, recent[index])
            Candidate(endpoints[server], hashes[server], load.own + load.atPeers, projection.of(load))
        }
    }

    /** Records that [request] is sent to [server]. */
    fun recordSent(request: PausedRequest, server: Int, now: Int) {
        budget = budget.refilled(instant(now), retryBounds, plan.routers)
        if (request.tried.isEmpty()) budget = budget.afterRequest(retryBounds)
        request.tried += server
        inFlight[server]++
        sendTimes[server].addLast(now)
        while (sendTimes[server].first() < now - WINDOW) sendTimes[server].removeFirst()
    }

    /** Records that [server] has refused [request] and asks for a [pause]. Returns whether to try another one. */
    fun recordRefused(request: PausedRequest, server: Int, pause: Int, now: Int): Boolean {
        inFlight[server]--
        val asked = Duration.ofMillis(pause.toLong())
        health[server] = outlierDetector.after(health[server], HealthEvidence.FULL, instant(now))
        if (policy != null) {
            val event = AvailabilityEvent.PauseRequested(endpoints[server].incarnation, asked)
            announcements = policy.after(announcements, event, instant(now)).first
        }
        budget = budget.refilled(instant(now), retryBounds, plan.routers)
        val refusal = AttemptOutcome.NotRun(UNAVAILABLE, asked)
        val (state, decision) = retryPolicy.decide(request.state, refusal, instant(now), budget.allowsRetry)
        request.state = state
        val retries = decision == RetryDecision.TryAnother
        if (retries) budget = budget.afterRetry()
        return retries
    }

    /** Records that [server] has answered a request. */
    fun recordAnswered(server: Int, now: Int) {
        inFlight[server]--
        health[server] = outlierDetector.after(health[server], HealthEvidence.ANSWERED, instant(now))
    }

    private companion object {
        const val MAX_REFUSALS = 3
        const val UNAVAILABLE = 503
        const val WINDOW = 5_000
        val WORK: Duration = Duration.ofMillis(60)
        val retryBounds = RetryBounds(share = 0.2, slack = 50.0, window = Duration.ofSeconds(10))
    }
}
