package comfreypath.coordination.placement

import java.time.Duration
import java.time.Instant

private const val WINDOW_SECONDS = 5L
private const val MAX_REQUESTS = 4_096

/** Fewer requests with a prefix are no evidence that it is popular. */
private const val MIN_REQUESTS = 5

/** The multiple of an even share of the requests that one endpoint gets by a single prefix. */
private const val MAX_SHARES_AT_ONE_ENDPOINT = 1.3

/**
 * The shares that prompt prefixes have in this router's recent requests to a service.
 *
 * Load pattern: a prefix becomes popular at once with the callers of all routers. Its endpoint would get the requests
 * of a second or more before any report shows them. A popular prefix is therefore placed as several prefixes, each with
 * an endpoint of its own, by its share alone.
 */
class PrefixShares {
    private class Sent(val prefixId: Long, val at: Instant)

    private val requests = ArrayDeque<Sent>()
    private val counts = HashMap<Long, Int>()

    /** Records that a request with the prefix [prefixId] is placed at [now]. */
    fun record(prefixId: Long, now: Instant) {
        requests.addLast(Sent(prefixId, now))
        counts.merge(prefixId, 1, Int::plus)
        while (requests.size > MAX_REQUESTS || requests.first().at + window < now) {
            counts.computeIfPresent(requests.removeFirst().prefixId) { _, count -> (count - 1).takeIf { it > 0 } }
        }
    }

    /** The number of endpoints, of [candidates], over which the requests with [prefixId] are to be spread. */
    fun copies(prefixId: Long, candidates: Int): Int {
        val count = counts[prefixId] ?: 0
        val evenShares = if (count < MIN_REQUESTS) 0.0 else (count - 1.0) * candidates / requests.size
        return (evenShares / MAX_SHARES_AT_ONE_ENDPOINT).toInt().coerceIn(1, maxOf(1, candidates))
    }

    private companion object {
        val window: Duration = Duration.ofSeconds(WINDOW_SECONDS)
    }
}
