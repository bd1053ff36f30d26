package comfreypath.coordination.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import java.time.Instant

private const val MAX_ROUTES = 16
private const val MAX_PEERS = 1_024

/** Adds samples of this router and its peers to the evidence on a rollout, within fixed bounds of memory. */
internal object EvidenceMerge {
    /** The progress after a sample of this router. */
    fun sampled(progress: RolloutProgress, event: RolloutEvent.Sampled): RolloutProgress {
        val known = progress.own[event.route]
        return if (known == null && progress.own.size >= MAX_ROUTES) {
            progress
        } else {
            progress.copy(
                own = progress.own.put(event.route, (known ?: RouteEvidence()) + event.evidence),
                judge = VersionJudge.add(progress.judge, event.route, event.evidence),
            )
        }
    }

    /** The progress after a peer's report arrived at [now]; a report on another order changes nothing. */
    fun reported(progress: RolloutProgress, event: RolloutEvent.ReportReceived, now: Instant): RolloutProgress {
        val report = event.report
        val applies = report.order == RolloutReport.orderKey(progress.order) && canTrack(progress, event)
        return if (applies) {
            progress.copy(
                startedAt = minOf(progress.startedAt, now - report.age),
                held = progress.held || report.held,
                peers = progress.peers.put(event.from, persistentMapOf<Int, RouteEvidence>().putAll(report.routes)),
                judge = withReported(progress.judge, progress.peers[event.from] ?: persistentMapOf(), report),
            )
        } else {
            progress
        }
    }

    private fun canTrack(progress: RolloutProgress, event: RolloutEvent.ReportReceived): Boolean =
        event.report.routes.size <= MAX_ROUTES && (event.from in progress.peers || progress.peers.size < MAX_PEERS)

    private fun withReported(
        judge: JudgeState,
        known: PersistentMap<Int, RouteEvidence>,
        report: RolloutReport,
    ): JudgeState = report.routes.entries.fold(judge) { state, (route, evidence) ->
        VersionJudge.add(state, route, evidence.since(known[route] ?: RouteEvidence()))
    }
}
