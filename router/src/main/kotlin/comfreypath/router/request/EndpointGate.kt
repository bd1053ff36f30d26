package comfreypath.router.request

import comfreypath.coordination.availability.Availability
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.RouterContext
import comfreypath.router.sending.AnnouncementTracker
import comfreypath.router.view.ClusterView
import java.time.Duration

/** Which endpoints may get new requests, by the store and by what they have announced themselves. */
internal class EndpointGate(
    private val context: RouterContext,
    private val view: ClusterView,
    private val announcements: AnnouncementTracker,
) {
    /** True if [endpoint] may get new requests. */
    fun accepts(endpoint: Endpoint): Boolean = isInService(endpoint) && announcements.of(endpoint).allowsRequests

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
