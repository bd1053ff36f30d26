package comfreypath.coordination.evidence

import kotlinx.serialization.json.Json
import java.time.Duration
import java.time.Instant

/** Selects what a router reports to its peers. */
internal object PartReports {
    private enum class Rank { QUARANTINED, SEVERAL_CRASHES, OTHER }

    /** At most [PartEvidenceOptions.maxReports] reports, the most suspected parts first, then the latest changes. */
    fun select(state: PartEvidenceState, options: PartEvidenceOptions, now: Instant): List<PartReport> {
        val reports = state.parts.entries
            .mapNotNull { (part, suspicion) -> rank(suspicion, options, now)?.let { Triple(it, part, suspicion) } }
            .sortedWith(compareBy({ it.first }, { Duration.between(it.third.changedAt, now) }))
            .take(options.maxReports)
            .map { (_, part, suspicion) -> report(part, suspicion, state.answers.latest(part), options, now) }
        var bytes = 0
        return reports.takeWhile { report ->
            bytes += Json.encodeToString(report).length
            bytes <= options.maxReportBytes
        }
    }

    /** Null if the part is not reported. */
    private fun rank(suspicion: PartSuspicion, options: PartEvidenceOptions, now: Instant): Rank? = when {
        suspicion.quarantine != null -> Rank.QUARANTINED
        suspicion.crashes.isEmpty() -> Rank.OTHER.takeIf { now < suspicion.changedAt + options.clearance }
        suspicion.moments(options) >= options.momentsToHoldRepeats -> Rank.SEVERAL_CRASHES
        suspicion.crashes.any { it.seenHere } -> Rank.OTHER
        else -> null
    }

    private fun report(
        part: Long,
        suspicion: PartSuspicion,
        answeredAt: Instant?,
        options: PartEvidenceOptions,
        now: Instant,
    ) = PartReport(
        part = part,
        crashes = suspicion.crashes.filter { it.seenHere || suspicion.quarantine != null }
            .takeLast(options.maxReportedCrashes)
            .map { ReportedCrash(it.endpointKey, Duration.between(it.at, now)) },
        answeredAge = answeredAt?.let { Duration.between(it, now) },
        quarantine = suspicion.quarantine?.let {
            ReportedQuarantine(Duration.between(now, it.until).coerceAtLeast(Duration.ZERO), it.failures)
        },
    )
}
