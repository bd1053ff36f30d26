package comfreypath.router.sending

import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Route
import comfreypath.router.evidence.AttemptEvidence
import comfreypath.router.rollout.VersionRollouts
import java.time.Instant

/**
 * The counts and measurements that this router updates while it sends requests.
 *
 * @property endpoints requests in flight at each endpoint, and its observed health
 * @property retries retry budgets by service
 * @property evidence the evidence on prompt parts that crash endpoints
 * @property dataCentres the data centres that this router can't reach
 * @property progress requests in progress at each service, and their expected duration
 * @property rollouts the versions in use during rollouts, and how they respond
 */
class Trackers(
    val endpoints: EndpointTracker,
    val retries: RetryBudgets,
    val progress: ServiceProgress,
    val rollouts: VersionRollouts,
    val evidence: AttemptEvidence,
    val dataCentres: DataCentreTracker,
) {
    /** Records at [now] that an attempt on [route] which has begun at [endpoint] has sent nothing. */
    fun recordWithheld(endpoint: Endpoint, route: Route, now: Instant) {
        endpoints.entry(endpoint.name).recordWithheld(now)
        rollouts.recordSent(endpoint, route, withheld = true)
    }
}
