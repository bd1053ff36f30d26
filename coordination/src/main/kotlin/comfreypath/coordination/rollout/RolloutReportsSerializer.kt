package comfreypath.coordination.rollout

import comfreypath.coordination.fleet.CompactSerializer
import kotlinx.collections.immutable.toPersistentMap
import java.time.Duration

private const val RADIX = 36
private const val HELD = "h"

/**
 * Serializes [RolloutReports] as `ORDER:AGE:HELD/ROUTE:TARGET:BASELINE/...`, separated by `;`. A version's tallies are
 * the pairs of samples and bad samples by aspect, separated by commas; trailing empty pairs are omitted.
 */
internal object RolloutReportsSerializer :
    CompactSerializer<RolloutReports>("ORDER:AGE:HELD/ROUTE:TARGET:BASELINE/...;...") {
    override fun write(value: RolloutReports): String = value.reports.joinToString(";") { report ->
        val held = if (report.held) HELD else ""
        val head = "${report.order.toString(RADIX)}:${report.age.toMillis().toString(RADIX)}:$held"
        val routes = report.routes.map { (route, evidence) ->
            "${route.toString(RADIX)}:${write(evidence.target)}:${write(evidence.baseline)}"
        }
        (listOf(head) + routes).joinToString("/")
    }

    private fun write(tallies: Tallies): String = VersionAspect.entries
        .map { tallies[it] ?: Tally() }
        .dropLastWhile { it.samples == 0 }
        .joinToString(",") { "${it.samples.toString(RADIX)},${it.bad.toString(RADIX)}" }

    override fun read(text: String): RolloutReports? {
        val reports = text.split(';').filter { it.isNotEmpty() }.map(::readReport)
        return if (null in reports) null else RolloutReports(reports.filterNotNull())
    }

    private fun readReport(text: String): RolloutReport? {
        val sections = text.split('/')
        val head = sections.first().split(':')
        val order = head.first().toIntOrNull(RADIX)
        val age = head.getOrNull(1)?.toLongOrNull(RADIX)?.takeIf { it >= 0 }?.let { Duration.ofMillis(it) }
        val routes = sections.drop(1).map(::readRoute)
        return if (order == null || age == null || null in routes) {
            null
        } else {
            RolloutReport(order, age, head.getOrNull(2) == HELD, routes.filterNotNull().toMap().toPersistentMap())
        }
    }

    private fun readRoute(text: String): Pair<Int, RouteEvidence>? {
        val fields = text.split(':')
        val route = fields.first().toIntOrNull(RADIX)
        val target = readTallies(fields.getOrElse(1) { "" })
        val baseline = readTallies(fields.getOrElse(2) { "" })
        return if (route == null || target == null || baseline == null) {
            null
        } else {
            route to RouteEvidence(target, baseline)
        }
    }

    /** Reads tallies; ignores those of aspects that a newer router has added. */
    private fun readTallies(text: String): Tallies? {
        val numbers = text.split(',').filter { it.isNotEmpty() }.map { it.toIntOrNull(RADIX) }
        val valid = numbers.size % 2 == 0 && numbers.all { it != null && it >= 0 }
        return if (valid) {
            numbers.filterNotNull().chunked(2).zip(VersionAspect.entries)
                .filter { (pair, _) -> pair[0] > 0 }
                .associate { (pair, aspect) -> aspect to Tally(pair[0], pair[1].coerceAtMost(pair[0])) }
                .toPersistentMap()
        } else {
            null
        }
    }
}
