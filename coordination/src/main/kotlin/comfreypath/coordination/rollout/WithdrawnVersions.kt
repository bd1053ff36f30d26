package comfreypath.coordination.rollout

import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Rollout
import comfreypath.coordination.routing.RolloutState
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import java.time.Duration
import java.time.Instant

private const val MAX_ABSENCE_SECONDS = 60L

/** A version of a service. */
data class ServiceVersion(val service: ServiceName, val version: VersionName)

/** Why a version gets no requests although no rollout in force says so. */
enum class Withdrawal {
    /** Its rollout was replaced or removed before it was completed. It serves only if no other version can. */
    UNFINISHED,

    /** It was found to be bad. It serves no more. */
    BAD,
}

/**
 * The versions that a rollout has not brought into use, for as long as they have endpoints.
 *
 * Load pattern: an operator orders the next version while endpoints of the last one, which was rolled back, are still
 * there. To the rollout in force all versions but its target are those that served before.
 *
 * A version is in use again once it is ordered. Entries of endpoints may lapse for a moment, so that a version is
 * forgotten only when it has had none for a time.
 *
 * @property withdrawals the withdrawn versions, and since when each of them has had no endpoint
 */
data class WithdrawnVersions(private val withdrawals: PersistentMap<ServiceVersion, Entry> = persistentMapOf()) {
    /** A withdrawal; [absentSince] is null while the version has endpoints. */
    data class Entry(val reason: Withdrawal, val absentSince: Instant? = null)

    /** The versions that were found to be bad. */
    val bad: Set<ServiceVersion> get() = withdrawals.filterValues { it.reason == Withdrawal.BAD }.keys

    /** Records that [version] is withdrawn; one that was found to be bad stays so. */
    fun withdrawn(version: ServiceVersion, reason: Withdrawal): WithdrawnVersions {
        val known = withdrawals[version]
        return if (known != null && known.reason >= reason) this else copy(withdrawals.put(version, Entry(reason)))
    }

    /** Records what the rollout of [progress] has found. */
    fun found(progress: RolloutProgress): WithdrawnVersions {
        val target = ServiceVersion(progress.order.service, progress.order.target)
        return when {
            progress.recorded == RolloutState.COMPLETED -> copy(withdrawals.remove(target))
            progress.verdict == VersionVerdict.BAD || progress.recorded == RolloutState.ROLLED_BACK ->
                withdrawn(target, Withdrawal.BAD)
            else -> this
        }
    }

    /** Records that the rollout of [progress] is no longer in force. */
    fun ended(progress: RolloutProgress): WithdrawnVersions {
        val target = ServiceVersion(progress.order.service, progress.order.target)
        val known = found(progress)
        return if (progress.open) known.withdrawn(target, Withdrawal.UNFINISHED) else known
    }

    /** Records that [order] is in force, and what the store has recorded of the orders before it. */
    fun ordered(order: Rollout): WithdrawnVersions {
        val before = order.stateTarget?.takeIf { order.state == RolloutState.ROLLED_BACK }
        return (order.badVersions + listOfNotNull(before)).filter { it != order.target }.fold(this) { known, version ->
            known.withdrawn(ServiceVersion(order.service, version), Withdrawal.BAD)
        }
    }

    /** Records that the target of [order] is to be tried, whatever was found before. */
    fun readmitted(order: Rollout): WithdrawnVersions =
        copy(withdrawals.remove(ServiceVersion(order.service, order.target)))

    /** Forgets the versions that have been without an endpoint for long, now that [present] ones have endpoints. */
    fun listed(present: Set<ServiceVersion>, now: Instant): WithdrawnVersions = copy(
        withdrawals
            .mapValues { (version, entry) ->
                entry.copy(absentSince = if (version in present) null else entry.absentSince ?: now)
            }
            .filterValues { it.absentSince == null || now <= it.absentSince + maxAbsence }
            .toPersistentMap(),
    )

    /** Those of [endpoints], which are of one service, that may serve; [target] is decided by its own rollout. */
    fun allowed(endpoints: List<Endpoint>, target: VersionName?): List<Endpoint> {
        if (withdrawals.isEmpty()) return endpoints
        fun reasonOf(endpoint: Endpoint) = withdrawals[ServiceVersion(endpoint.service, endpoint.version)]?.reason
            ?.takeIf { endpoint.version != target }
        val sound = endpoints.filter { reasonOf(it) != Withdrawal.BAD }
        return sound.filter { reasonOf(it) == null }.ifEmpty { sound }
    }

    private companion object {
        /** Longer than the lease of an endpoint's entry. */
        val maxAbsence: Duration = Duration.ofSeconds(MAX_ABSENCE_SECONDS)
    }
}
