package comfreypath.coordination.health

import java.time.Instant

/**
 * Leaves out the endpoints that fail, but never more than half of them: when all of a service's endpoints fail alike,
 * leaving some out would only overload the others.
 */
object HealthFilter {
    /** The candidates that may be tried at [now], those that fail least among them if too many fail. */
    fun <T> usable(candidates: List<T>, now: Instant, health: (T) -> HealthState): List<T> {
        val sound = candidates.filterNot { health(it).isEjected(now) }
        val least = (candidates.size + 1) / 2
        if (sound.size >= least) {
            return sound
        }
        val ejected = candidates.filter { health(it).isEjected(now) }.sortedBy { health(it).failureRate }
        return sound + ejected.take(least - sound.size)
    }
}
