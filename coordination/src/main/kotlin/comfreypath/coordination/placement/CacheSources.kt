package comfreypath.coordination.placement

import comfreypath.coordination.availability.Incarnation
import comfreypath.coordination.availability.incarnation
import comfreypath.coordination.routing.Endpoint

/**
 * An endpoint from which another one could fetch a prompt's cache.
 *
 * @property nameHash the hash of the endpoint's name
 * @property settled true once this run of the endpoint has been known long enough to have cached what is placed there
 */
class CacheHolder(val endpoint: Endpoint, val nameHash: Long, val settled: Boolean)

/**
 * Chooses the endpoint from which another one fetches the cache of a prompt.
 *
 * Load pattern: endpoints crash, come back empty under the same name or are replaced, while callers return to their
 * chats. Each prompt that moves is read again unless the endpoint that gets it is told of one that has it and responds.
 * A router sees a sliver of the requests, so that it derives the holder from the ranking that all routers share, and
 * prefers what it has sent itself.
 */
object CacheSources {
    /**
     * The endpoint from which [chosen] fetches the cache of the prefix [prefixId]; null if it probably has it already.
     *
     * @param responsive the endpoints that respond, draining ones too
     * @param recent the runs of endpoints to which this router has sent the prefix, the latest first
     */
    fun choose(
        prefixId: Long,
        chosen: Endpoint,
        responsive: List<CacheHolder>,
        recent: List<Incarnation>,
    ): Endpoint? {
        val home = highestRanked(prefixId, responsive) { it.settled } ?: highestRanked(prefixId, responsive) { true }
        return if (home?.name == chosen.name || chosen.incarnation in recent) {
            null
        } else {
            recent.firstNotNullOfOrNull { run -> responsive.firstOrNull { it.endpoint.incarnation == run } }?.endpoint
                ?: home
        }
    }

    private fun highestRanked(
        prefixId: Long,
        holders: List<CacheHolder>,
        eligible: (CacheHolder) -> Boolean,
    ): Endpoint? = holders.filter(eligible).maxByOrNull { mix(prefixId, it.nameHash) }?.endpoint
}
