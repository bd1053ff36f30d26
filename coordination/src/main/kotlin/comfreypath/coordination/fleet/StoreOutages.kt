package comfreypath.coordination.fleet

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import java.time.Duration
import java.time.Instant

/** Shorter failures are single calls that were cut off or refused; leases outlive them. */
private const val MIN_OUTAGE_MILLISECONDS = 1_000L
private const val MAX_REPORT_AGE_SECONDS = 10L
private const val MIN_DATA_CENTRES = 2

/** Reports of this many routers count in a fleet of one data centre. */
private const val MIN_ROUTERS = 2

/**
 * Outages of the store, as routers report them: this router by its own calls, the others in their status messages.
 *
 * Answers the load in which many leases of live endpoints expire at once because the store was away, and most routers
 * did not call it meanwhile. A router that is cut off from a sound store, or whose own link is full, reports an outage
 * too, and so may the others in its data centre. Reports are therefore believed only if they come from two data
 * centres, of which this router's may be one; in a fleet of one data centre, from two routers.
 *
 * @property self this router
 * @property failing the routers whose calls still fail, with the time of their last report
 * @property ended the routers whose calls have failed, with the time at which they reported a response again
 */
data class StoreOutages(
    val self: InstanceName,
    private val failing: PersistentMap<ReportingRouter, Instant> = persistentMapOf(),
    private val ended: PersistentMap<ReportingRouter, Instant> = persistentMapOf(),
) {
    /** A router that reports outages. */
    data class ReportingRouter(val name: InstanceName, val dataCentre: DataCentreName)

    /** Records that the calls of [router] have failed for [failingFor], which is zero after a response. */
    fun reported(router: ReportingRouter, failingFor: Duration, now: Instant): StoreOutages = when {
        failingFor >= MIN_OUTAGE -> copy(failing = failing.put(router, now)).pruned(now)
        router in failing -> copy(failing = failing.remove(router), ended = ended.put(router, now)).pruned(now)
        else -> this
    }

    /** Records that an outage of the calls of [router] ended at [at]. */
    fun ended(router: ReportingRouter, at: Instant, now: Instant): StoreOutages =
        if (Duration.between(at, now) > maxReportAge) this else copy(ended = ended.put(router, at)).pruned(now)

    /** The time since the last outage of this router's own calls ended, to tell peers; null if it was long ago. */
    fun ownEndedAgo(now: Instant): Duration? =
        ended.filterKeys { it.name == self }.values.maxOrNull()?.let { Duration.between(it, now) }
            ?.takeIf { it <= maxReportAge }

    private fun pruned(now: Instant) =
        copy(failing = failing.withoutOld(now), ended = ended.withoutOld(now))

    private fun PersistentMap<ReportingRouter, Instant>.withoutOld(now: Instant) =
        entries.filter { Duration.between(it.value, now) > maxReportAge }.fold(this) { map, old -> map.remove(old.key) }

    /**
     * The end of the last outage, when the last reporting router had a response again; null if there was none.
     *
     * An outage that goes on does not count: what a router learns then comes from peers that the store answers.
     * [fleet] is the size of the whole fleet.
     */
    fun lastEndedAt(now: Instant, fleet: FleetSize): Instant? {
        val current = pruned(now)
        val reporting = current.failing.keys + current.ended.keys
        val believed = reporting.size >= minOf(MIN_ROUTERS, fleet.routers) &&
            reporting.distinctBy { it.dataCentre }.size >= minOf(MIN_DATA_CENTRES, fleet.dataCentres)
        return if (believed) current.ended.values.maxOrNull() else null
    }

    companion object {
        /** The shortest time for which calls fail in an outage. */
        val MIN_OUTAGE: Duration = Duration.ofMillis(MIN_OUTAGE_MILLISECONDS)
        private val maxReportAge: Duration = Duration.ofSeconds(MAX_REPORT_AGE_SECONDS)
    }
}
