package comfreypath.router.request

import comfreypath.router.RouterContext
import comfreypath.router.sending.EndpointSender
import comfreypath.router.sending.Trackers

/**
 * The collaborators that the attempts of all requests share.
 *
 * @property streams the format of the endpoints' streams
 */
class RelayDependencies(
    val context: RouterContext,
    val selector: EndpointSelector,
    val sender: EndpointSender,
    val trackers: Trackers,
    val invariants: RelayInvariants,
    val streams: StreamFormat,
)
