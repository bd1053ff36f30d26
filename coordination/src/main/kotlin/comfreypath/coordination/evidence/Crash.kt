package comfreypath.coordination.evidence

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import java.time.Duration
import java.time.Instant

/**
 * The crash of an endpoint.
 *
 * @property endpointKey key of the endpoint's name, as in [InFlight][comfreypath.coordination.fleet.InFlight]
 * @property at time at which its connections were lost
 * @property seenHere false if only a peer has reported it
 */
data class Crash(val endpointKey: Int, val at: Instant, val seenHere: Boolean) {
    /** True if [other] is a sighting of the same crash, which may differ by up to [tolerance]. */
    fun isSame(other: Crash, tolerance: Duration): Boolean =
        endpointKey == other.endpointKey && Duration.between(at, other.at).abs() <= tolerance
}

/** The crashes with [crash], ordered by time. The earliest sighting of a crash counts, and at most [max] are kept. */
internal fun ImmutableList<Crash>.plusSighting(crash: Crash, tolerance: Duration, max: Int): ImmutableList<Crash> {
    val known = firstOrNull { it.isSame(crash, tolerance) }
    val merged = known?.copy(at = minOf(known.at, crash.at), seenHere = known.seenHere || crash.seenHere) ?: crash
    return (filterNot { it == known } + merged).sortedBy { it.at }.takeLast(max).toImmutableList()
}

/** The first crash of each moment; crashes within [moment] after it belong to the same one. */
internal fun List<Crash>.moments(moment: Duration): List<Crash> = fold(emptyList()) { firsts, crash ->
    val last = firsts.lastOrNull()
    if (last == null || crash.at >= last.at + moment) firsts + crash else firsts
}
