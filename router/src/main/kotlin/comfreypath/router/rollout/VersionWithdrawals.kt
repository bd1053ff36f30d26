package comfreypath.router.rollout

import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.rollout.RolloutProgress
import comfreypath.coordination.rollout.RolloutReport
import comfreypath.coordination.rollout.ServiceVersion
import comfreypath.coordination.rollout.Withdrawal
import comfreypath.coordination.rollout.WithdrawnVersions
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Rollout
import comfreypath.router.RouterContext
import comfreypath.router.view.EndpointView

/** More bad versions than this are not told to peers, to bound the size of status messages. */
private const val MAX_TOLD = 16

/** Remembers the versions that rollouts have not brought into use, and exchanges with peers which were bad. */
internal class VersionWithdrawals(private val context: RouterContext, private val endpoints: EndpointView) {
    private var withdrawn = WithdrawnVersions()

    /** The versions of [service] that were found to be bad. */
    fun badVersionsOf(service: ServiceName): Set<VersionName> =
        withdrawn.bad.filter { it.service == service }.mapTo(HashSet()) { it.version }

    /** Learns the [order] that is in force, and that of [before] until now; null if there was none. */
    fun ordered(order: Rollout, before: RolloutProgress?) = change { known ->
        val isNew = before == null || RolloutReport.orderKey(before.order) != RolloutReport.orderKey(order)
        when {
            !isNew -> known
            before == null -> known.readmitted(order)
            else -> known.ended(before).readmitted(order)
        }.ordered(order)
    }

    /** Learns that the order of [before] was removed. */
    fun removed(before: RolloutProgress) = change { it.ended(before) }

    /** Learns what the rollouts of [all] have found, and which versions still have endpoints. */
    fun tick(all: Collection<RolloutProgress>) = change { known ->
        val found = all.fold(known) { versions, progress -> versions.found(progress) }
        if (found == WithdrawnVersions()) found else found.listed(present(), context.now())
    }

    /** Those of [candidates], which are of one service, that may serve beside the [target] of its rollout. */
    fun allowed(candidates: List<Endpoint>, target: VersionName?): List<Endpoint> =
        withdrawn.allowed(candidates, target)

    /** The keys of the bad versions, to tell peers. */
    fun toTell(): List<Int> = withdrawn.bad.map(::keyOf).take(MAX_TOLD)

    /** Learns the bad versions with these [keys] from a peer; the [targets] in force are judged by their rollouts. */
    fun hear(keys: List<Int>, targets: Set<ServiceVersion>) {
        val unknown = keys - toTell().toSet()
        if (unknown.isEmpty()) return
        val heard = present().filter { keyOf(it) in unknown && it !in targets }
        change { known -> heard.fold(known) { versions, version -> versions.withdrawn(version, Withdrawal.BAD) } }
    }

    private fun present(): Set<ServiceVersion> =
        endpoints.entries.values.values.mapTo(HashSet()) { ServiceVersion(it.service, it.version) }

    private fun keyOf(version: ServiceVersion): Int =
        (hashOf("${version.service} ${version.version}") ushr Int.SIZE_BITS).toInt()

    private fun change(next: (WithdrawnVersions) -> WithdrawnVersions) {
        val before = withdrawn.bad
        withdrawn = next(withdrawn)
        val after = withdrawn.bad
        (after - before).forEach {
            context.log.record("version_withdrawn", "service" to it.service, "version" to it.version)
        }
        (before - after).forEach {
            context.log.record("version_readmitted", "service" to it.service, "version" to it.version)
        }
    }
}
