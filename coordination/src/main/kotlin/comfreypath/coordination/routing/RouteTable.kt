package comfreypath.coordination.routing

/** Finds the route of a request: of the host's routes the one with the longest prefix of the path. */
class RouteTable(routes: Collection<Route>) {
    private val hosts: Map<String, Map<String, Route>> = routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, ofHost) -> ofHost.associateBy { it.pathPrefix } }

    /** The route for [host], without regard to a port or to case, and [path], without its query; null if none. */
    fun find(host: String, path: String): Route? {
        val prefixes = hosts[host.substringBefore(':').lowercase()].orEmpty()
        return slashes(path).firstNotNullOfOrNull { prefixes[path.substring(0, it + 1)] }
    }

    /** The indexes of the slashes in [path], the last one first. */
    private fun slashes(path: String): Sequence<Int> =
        generateSequence(path.lastIndexOf('/')) { path.lastIndexOf('/', it - 1) }.takeWhile { it >= 0 }
}
