package comfreypath.router.sending

import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.TeamName
import comfreypath.coordination.overload.ExpectedTimes
import comfreypath.coordination.overload.WorkTimes
import java.time.Duration

/** This router's requests in progress at each service, and how long such requests take. */
class ServiceProgress {
    private val teams = HashMap<ServiceName, HashMap<TeamName, Int>>()
    private var workTimes = WorkTimes()

    /** This router's requests in progress at [service], by team. */
    fun inProgressByTeam(service: ServiceName): Map<TeamName, Int> = teams[service].orEmpty()

    /** How long a request of [route] at [service] is expected to take. */
    fun expectedTimes(service: ServiceName, route: String) =
        ExpectedTimes(workTimes.holdTimes[service]?.value, workTimes.responseTimes[route]?.value)

    /** Notes that a request of [team] was sent to [service]. */
    fun recordStart(service: ServiceName, team: TeamName?) {
        team?.let { teams.getOrPut(service) { HashMap() }.merge(it, 1, Int::plus) }
    }

    /** Notes that a request of [team] at [service] is over. */
    fun recordEnd(service: ServiceName, team: TeamName?) {
        team?.let { teams[service]?.computeIfPresent(it) { _, count -> (count - 1).takeIf { left -> left > 0 } } }
    }

    /** Takes in how long a request took that did not wait for a slot: to its answer's start, and in all. */
    fun recordTimes(service: ServiceName, route: String, answered: Duration, held: Duration) {
        workTimes = workTimes.with(service, route, answered, held)
    }
}
