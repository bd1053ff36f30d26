package comfreypath.coordination.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import java.time.Duration
import java.time.Instant

private const val TELLING_SECONDS = 10L
private const val MAX_TOLD = 64
private const val MAX_HEARD_SECONDS = 30L
private const val MAX_HEARD = 512

/**
 * Endpoints that get no new requests any more, by [InFlight.key], with the store revision at which the list of
 * endpoints says so.
 */
@Serializable(with = DeparturesSerializer::class)
data class Departures(val revisions: Map<Int, Long> = emptyMap())

/** A departure and when this router learned of it. */
data class DepartureNotice(val revision: Long, val at: Instant)

/**
 * The departures that this router tells its peers of, and those that it has heard of.
 *
 * Load pattern: many endpoints leave while routers that do not watch the store can't fetch the changed list, because
 * the peers that they ask are slow, cut off or gone. A departure is a few bytes; it travels in the status message that
 * announces the change, so that a router stops sending before it has the list.
 *
 * A router tells only of what its own list says, so that a departure does not circulate. What it has heard counts until
 * its own list is as recent.
 *
 * @property told departures that this router's list has shown
 * @property heard departures that peers have told of, and that this router's list does not show yet
 */
data class DepartureLog(
    val told: PersistentMap<Int, DepartureNotice> = persistentMapOf(),
    val heard: PersistentMap<Int, DepartureNotice> = persistentMapOf(),
) {
    /** Records that this router's list, now at [revision], shows that the endpoints with these [keys] have left. */
    fun listed(keys: Collection<Int>, revision: Long, now: Instant): DepartureLog = copy(
        told = recent(told + keys.associateWith { DepartureNotice(revision, now) }, telling, now).newest(MAX_TOLD),
        heard = heard.filterValues { it.revision > revision }.toPersistentMap(),
    )

    /** Records the [departures] that a peer tells of; this router's list is at [revision]. */
    fun heard(departures: Departures, revision: Long, now: Instant): DepartureLog {
        val later = departures.revisions.filter { (key, at) -> at > (heard[key]?.revision ?: revision) }
        return if (later.isEmpty()) {
            this
        } else {
            val notices = later.mapValues { (_, at) -> DepartureNotice(at, now) }
            copy(heard = recent(heard + notices, maxHeard, now).newest(MAX_HEARD))
        }
    }

    /** What to tell peers at [now]; null if there is nothing. */
    fun toTell(now: Instant): Departures? = recent(told, telling, now)
        .takeIf { it.isNotEmpty() }
        ?.let { notices -> Departures(notices.mapValues { it.value.revision }) }

    /** True if the endpoint with [key] has left, as peers tell and this router's list at [revision] can't show yet. */
    fun hasLeft(key: Int, revision: Long, now: Instant): Boolean =
        heard[key]?.let { it.revision > revision && now < it.at + maxHeard } ?: false

    private fun recent(notices: Map<Int, DepartureNotice>, age: Duration, now: Instant) =
        notices.filterValues { now < it.at + age }

    private fun Map<Int, DepartureNotice>.newest(count: Int): PersistentMap<Int, DepartureNotice> =
        if (size <= count) {
            toPersistentMap()
        } else {
            entries.sortedByDescending { it.value.revision }.take(count).associate { it.toPair() }.toPersistentMap()
        }

    private companion object {
        /** Longer than any endpoint serves on after its departure, so that a router that was away hears of it. */
        val telling: Duration = Duration.ofSeconds(TELLING_SECONDS)

        /** Bounds the harm of a departure that no list ever shows. */
        val maxHeard: Duration = Duration.ofSeconds(MAX_HEARD_SECONDS)
    }
}
