package comfreypath.coordination.routing

/** Matches requests to routes by host and longest path prefix. */
class RouteTable(routes: Collection<Route>) {
    private val routesByHost: Map<String, Map<String, Route>> = routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, hostRoutes) -> hostRoutes.associateBy { it.pathPrefix } }

    /** Returns the route for [host], ignoring case and port, and [path] without its query; null if none matches. */
    fun find(host: String, path: String): Route? {
        val routesByPrefix = routesByHost[host.substringBefore(':').lowercase()].orEmpty()
        return slashIndexes(path).firstNotNullOfOrNull { routesByPrefix[path.substring(0, it + 1)] }
    }

    /** The indexes of the slashes in [path], last first. */
    private fun slashIndexes(path: String): Sequence<Int> =
        generateSequence(path.lastIndexOf('/')) { path.lastIndexOf('/', it - 1) }.takeWhile { it >= 0 }
}
