package comfreypath.coordination.rollout

/**
 * A request for which a version is to be chosen.
 *
 * @property route the key of its route
 * @property hash from 0 to 1, equal for all requests of a chat
 * @property retry whether the request was already sent to another endpoint
 * @property routers the number of routers that share the operators' slack
 */
data class VersionRequest(val route: Int, val hash: Double, val retry: Boolean, val routers: Int)
