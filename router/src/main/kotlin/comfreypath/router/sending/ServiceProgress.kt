package comfreypath.router.sending

import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.TeamName
import comfreypath.coordination.overload.ExpectedTimes
import comfreypath.coordination.overload.WorkTimes
import comfreypath.coordination.routing.Route
import java.time.Duration

/** Counts this router's requests in progress at each service, and measures how long requests take. */
class ServiceProgress {
    private val teamCounts = HashMap<ServiceName, HashMap<TeamName, Int>>()
    private val counts = HashMap<ServiceName, Int>()
    private var workTimes = WorkTimes()

    /** The number of this router's requests in progress at [service], by team. */
    fun inProgressByTeam(service: ServiceName): Map<TeamName, Int> = teamCounts[service].orEmpty()

    /** The expected times of a request of [route] at [service]. */
    fun expectedTimes(service: ServiceName, route: String) =
        ExpectedTimes(workTimes.holdTimes[service]?.value, workTimes.responseTimes[route]?.value)

    /** The number of this router's requests in progress at [service]. */
    fun inProgress(service: ServiceName): Int = counts[service] ?: 0

    /** The expected times of a request of [route], also while none has been measured. */
    fun kindTimes(route: Route): ExpectedTimes = workTimes.ofKind(route)

    /** Records that a request of [team] was sent to [service]. */
    fun recordStart(service: ServiceName, team: TeamName?) {
        counts.merge(service, 1, Int::plus)
        team?.let { teamCounts.getOrPut(service) { HashMap() }.merge(it, 1, Int::plus) }
    }

    /** Records that a request of [team] at [service] has ended. */
    fun recordEnd(service: ServiceName, team: TeamName?) {
        counts.computeIfPresent(service) { _, count -> (count - 1).takeIf { left -> left > 0 } }
        team?.let { teamCounts[service]?.computeIfPresent(it) { _, count -> (count - 1).takeIf { left -> left > 0 } } }
    }

    /** Records the times of a request that did not wait for a slot: until its response began, and until it ended. */
    fun recordTimes(service: ServiceName, route: String, responseTime: Duration, holdTime: Duration) {
        workTimes = workTimes.with(service, route, responseTime, holdTime)
    }
}
