package comfreypath.router.request

import comfreypath.coordination.availability.Availability
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.placement.Candidate
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.RouterContext
import comfreypath.router.sending.AnnouncementTracker
import comfreypath.router.sending.EndpointLimitTracker
import comfreypath.router.view.ClusterView
import java.time.Duration

/** Which endpoints may get new requests, by the store and by what they have announced themselves. */
internal class EndpointGate(
    private val context: RouterContext,
    private val view: ClusterView,
    private val announcements: AnnouncementTracker,
    private val limits: EndpointLimitTracker,
) {
    /** True if [endpoint] may get new requests. */
    fun accepts(endpoint: Endpoint): Boolean = isInService(endpoint) && announcements.of(endpoint).allowsRequests

    /** True if [endpoint] may get a new request now, within the request rate that it has named. */
    fun admits(endpoint: Endpoint): Boolean = accepts(endpoint) && limits.allows(endpoint)

    /**
     * Leaves out the [candidates] that limit their rate, but for the one that [rank] prefers of all [registered].
     *
     * A limited endpoint is a candidate only now and then. It would have to read the prompts that come to it by chance,
     * which others have in their caches.
     */
    fun withSteadyRate(
        registered: List<Endpoint>,
        candidates: List<Candidate>,
        rank: (EndpointName) -> Long,
    ): List<Candidate> {
        if (!limits.anyLimited) return candidates
        val preferred = registered.filter(::accepts).maxByOrNull { rank(it.name) }?.name
        return candidates.filter { it.endpoint.name == preferred || !limits.isLimited(it.endpoint) }
    }

    /** The time until one of the [registered] endpoints may get a request; null unless rates keep all of them out. */
    fun allLimited(registered: List<Endpoint>): SelectionResult.AllLimited? =
        registered.filter { isInService(it) && announcements.of(it) != Availability.Leaving }
            .takeIf { staying -> staying.none(limits::allows) }
            ?.minOfOrNull { limits.waitTime(it) }
            ?.let { SelectionResult.AllLimited(it) }

    /** True unless the store says that the endpoint gets no requests, as far as this router or its peers know. */
    private fun isInService(endpoint: Endpoint): Boolean = !endpoint.draining &&
        endpoint.dataCentre.text !in view.evacuations.values &&
        !view.endpoints.hasLeft(endpoint)

    /** What the [registered] endpoints of a service have announced; null unless it keeps every one of them out. */
    fun allOut(registered: List<Endpoint>): SelectionResult.AllOut? {
        val inService = registered.filter(::isInService).map(announcements::of)
        val pauses = inService.filterIsInstance<Availability.Paused>()
        val allOut = inService.isNotEmpty() && inService.none { it.allowsRequests }
        return if (allOut) {
            SelectionResult.AllOut(
                paused = pauses.size,
                leaving = inService.size - pauses.size,
                untilFirstReturn = pauses.minOfOrNull { it.until }?.let { Duration.between(context.now(), it) },
            )
        } else {
            null
        }
    }
}
