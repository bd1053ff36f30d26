package comfreypath.coordination.health

import java.time.Instant

/**
 * Leaves out the endpoints that fail, but never more than half of them: when all of a service's endpoints fail alike,
 * leaving some out would only overload the others.
 */
object HealthyChoice {
    /** The candidates that may be tried at [now], those that fail least among them if too many fail. */
    fun <T> among(candidates: List<T>, now: Instant, health: (T) -> HealthState): List<T> {
        val sound = candidates.filterNot { health(it).ejected(now) }
        val least = (candidates.size + 1) / 2
        if (sound.size >= least) {
            return sound
        }
        val ejected = candidates.filter { health(it).ejected(now) }.sortedBy { health(it).badShare }
        return sound + ejected.take(least - sound.size)
    }
}
