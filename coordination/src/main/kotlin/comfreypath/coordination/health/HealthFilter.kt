package comfreypath.coordination.health

import java.time.Instant

/**
 * Excludes ejected endpoints, but never more than half of the candidates: when all endpoints of a service fail alike,
 * excluding more would only overload the others.
 */
object HealthFilter {
    /** The candidates to use at [now]; if too few are healthy, also the ejected ones with the lowest failure rates. */
    fun <T> usable(candidates: List<T>, now: Instant, health: (T) -> HealthState): List<T> {
        val healthy = candidates.filterNot { health(it).isEjected(now) }
        val minCount = (candidates.size + 1) / 2
        if (healthy.size >= minCount) {
            return healthy
        }
        val ejected = candidates.filter { health(it).isEjected(now) }.sortedBy { health(it).failureRate }
        return healthy + ejected.take(minCount - healthy.size)
    }
}
