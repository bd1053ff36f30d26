package comfreypath.coordination.availability

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import java.time.Duration
import java.time.Instant

/**
 * What one incarnation has announced.
 *
 * @property leaving true once it has announced that it leaves
 * @property pausedUntil the latest end of the pauses that it has asked for; null if it has asked for none
 * @property absentSince since when it has had no entry; null while it has one
 */
data class Announcement(
    val leaving: Boolean = false,
    val pausedUntil: Instant? = null,
    val absentSince: Instant? = null,
)

/** What endpoints have announced in their responses to one router. */
data class EndpointAnnouncements(
    val byIncarnation: PersistentMap<Incarnation, Announcement> = persistentHashMapOf(),
) {
    /** True if nothing is known, so that every endpoint is open. */
    val isEmpty: Boolean get() = byIncarnation.isEmpty()
}

/**
 * Decides which endpoints get no new requests because they have said so in a response.
 *
 * Answers two loads: servers that leave while routers can't read the store, and overloaded servers that ask each router
 * to stay away for a while. Times are readings of a steady clock. An incarnation that leaves is out for good. Of
 * several pauses the one that ends last counts, in whatever order their responses arrive.
 */
class AvailabilityPolicy(private val options: AvailabilityOptions = AvailabilityOptions()) {
    /** The availability of [incarnation] at [now]. */
    fun availability(state: EndpointAnnouncements, incarnation: Incarnation, now: Instant): Availability {
        val announcement = state.byIncarnation[incarnation] ?: return Availability.Open
        val until = announcement.pausedUntil
        return when {
            announcement.leaving -> Availability.Leaving
            until == null -> Availability.Open
            now < until -> Availability.Paused(until)
            else -> recovering(Duration.between(until, now))
        }
    }

    private fun recovering(sincePause: Duration): Availability {
        val step = sincePause.toMillis() / options.recoveryStep.toMillis()
        return if (step < options.recoverySteps) {
            val load = options.initialLoadPerSlot + step * options.loadPerSlotIncrement
            Availability.Recovering(step.toInt(), load.coerceAtMost(options.maxLoadPerSlot))
        } else {
            Availability.Open
        }
    }

    /** The state after [event] at [now], and the changes that it brings. */
    fun after(
        state: EndpointAnnouncements,
        event: AvailabilityEvent,
        now: Instant,
    ): Pair<EndpointAnnouncements, List<AvailabilityChange>> = when (event) {
        is AvailabilityEvent.LeavingAnnounced -> leaving(state, event.incarnation)
        is AvailabilityEvent.PauseRequested -> paused(state, event.incarnation, event.duration, now)
        is AvailabilityEvent.EntriesSeen -> entriesSeen(state, event, now)
    }

    private fun leaving(
        state: EndpointAnnouncements,
        incarnation: Incarnation,
    ): Pair<EndpointAnnouncements, List<AvailabilityChange>> {
        val known = state.byIncarnation[incarnation]
        if (known?.leaving == true) return state to emptyList()
        val next = (known ?: Announcement()).copy(leaving = true)
        return put(state, incarnation, next, listOf(AvailabilityChange.TakenOut(incarnation)))
    }

    private fun paused(
        state: EndpointAnnouncements,
        incarnation: Incarnation,
        duration: Duration,
        now: Instant,
    ): Pair<EndpointAnnouncements, List<AvailabilityChange>> {
        val known = state.byIncarnation[incarnation] ?: Announcement()
        val until = now + duration.coerceAtMost(options.maxPause)
        val previous = known.pausedUntil
        val pausedSoFar = maxOf(previous ?: now, now)
        if (known.leaving || until <= pausedSoFar) return state to emptyList()
        val extended = Duration.between(pausedSoFar, until) >= options.minReportedExtension
        val reported = pausedSoFar == now || extended
        val change = AvailabilityChange.Paused(incarnation, Duration.between(now, until)).takeIf { reported }
        return put(state, incarnation, known.copy(pausedUntil = until), listOfNotNull(change))
    }

    /** Adds an announcement; the one that matters least is dropped if there are too many. */
    private fun put(
        state: EndpointAnnouncements,
        incarnation: Incarnation,
        announcement: Announcement,
        changes: List<AvailabilityChange>,
    ): Pair<EndpointAnnouncements, List<AvailabilityChange>> {
        val added = state.byIncarnation.put(incarnation, announcement)
        val evicted = if (added.size > options.maxAnnouncements) leastImportant(added, incarnation) else null
        return if (evicted == null) {
            EndpointAnnouncements(added) to changes
        } else {
            EndpointAnnouncements(added.remove(evicted)) to
                changes + AvailabilityChange.Cleared(evicted, ClearReason.EVICTED)
        }
    }

    /** An incarnation without an entry, the longest first; else one whose pause ends first; else any that leaves. */
    private fun leastImportant(announcements: Map<Incarnation, Announcement>, added: Incarnation): Incarnation? =
        announcements.entries.filter { it.key != added }.minWithOrNull(
            compareBy(
                { it.value.absentSince ?: Instant.MAX },
                { it.value.leaving },
                { it.value.pausedUntil ?: Instant.MAX },
            ),
        )?.key

    private fun entriesSeen(
        state: EndpointAnnouncements,
        event: AvailabilityEvent.EntriesSeen,
        now: Instant,
    ): Pair<EndpointAnnouncements, List<AvailabilityChange>> {
        val changes = mutableListOf<AvailabilityChange>()
        val next = state.byIncarnation.mutate { all ->
            state.byIncarnation.forEach { (incarnation, known) ->
                val seen = known.copy(
                    absentSince = if (event.isRegistered(incarnation)) null else known.absentSince ?: now,
                )
                val reason = clearReason(incarnation, seen, now)
                if (reason == null) {
                    if (seen != known) all[incarnation] = seen
                } else {
                    all.remove(incarnation)
                    changes += AvailabilityChange.Cleared(incarnation, reason)
                }
            }
        }
        return EndpointAnnouncements(next) to changes
    }

    private fun clearReason(incarnation: Incarnation, announcement: Announcement, now: Instant): ClearReason? {
        val until = announcement.pausedUntil
        val absentSince = announcement.absentSince
        return when {
            !announcement.leaving && (until == null || now >= until + options.recoveryTime) -> ClearReason.PAUSE_OVER
            absentSince == null -> null
            incarnation.startedAt == null || now >= absentSince + options.absentRetention -> ClearReason.ENTRY_GONE
            else -> null
        }
    }
}

private inline fun <K, V> PersistentMap<K, V>.mutate(change: (MutableMap<K, V>) -> Unit): PersistentMap<K, V> =
    builder().also(change).build()
