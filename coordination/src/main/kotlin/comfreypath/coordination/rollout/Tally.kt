package comfreypath.coordination.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/** The number of samples, and how many of them were bad. */
data class Tally(val samples: Int = 0, val bad: Int = 0) {
    operator fun plus(other: Tally) = Tally(samples + other.samples, bad + other.bad)

    operator fun minus(other: Tally) = Tally(samples - other.samples, bad - other.bad)
}

/** The samples of one version on one route, by aspect. */
typealias Tallies = PersistentMap<VersionAspect, Tally>

/** True if a count in these tallies is lower than in [previous], since the process that counts has restarted. */
internal fun Tallies.restartedSince(previous: Tallies): Boolean = previous.any { (aspect, tally) ->
    val current = this[aspect] ?: Tally()
    current.samples < tally.samples || current.bad < tally.bad
}

/** The samples that were added to these tallies since [previous]. */
internal operator fun Tallies.minus(previous: Tallies): Tallies =
    mapValues { (aspect, tally) -> tally - (previous[aspect] ?: Tally()) }.toPersistentMap()

/** These tallies and those of [other]. */
internal operator fun Tallies.plus(other: Tallies): Tallies =
    other.entries.fold(this) { sum, (aspect, tally) -> sum.put(aspect, (sum[aspect] ?: Tally()) + tally) }

/**
 * The responses on one route during a rollout.
 *
 * @property target the samples of the new version
 * @property baseline the samples of all other versions at the same time
 */
data class RouteEvidence(val target: Tallies = persistentMapOf(), val baseline: Tallies = persistentMapOf()) {
    operator fun plus(other: RouteEvidence) = RouteEvidence(target + other.target, baseline + other.baseline)

    /** What was added to this evidence since [previous]; all of it if the process that counts has restarted. */
    fun since(previous: RouteEvidence): RouteEvidence =
        if (target.restartedSince(previous.target) || baseline.restartedSince(previous.baseline)) {
            this
        } else {
            RouteEvidence(target - previous.target, baseline - previous.baseline)
        }
}
