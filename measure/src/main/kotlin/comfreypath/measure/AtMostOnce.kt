package comfreypath.measure

import comfreypath.coordination.claims.ClaimKey
import comfreypath.coordination.model.TeamName
import comfreypath.measure.fake.FakeClaimShard
import comfreypath.measure.fake.FakeClaimTraffic
import comfreypath.measure.fake.FakeStore
import comfreypath.measure.fake.FakeStoreFaults
import comfreypath.measure.fake.Simulation
import java.time.Duration

private const val SHARDS = 64
private const val GAP_MILLISECONDS = 5L
private const val FAULT_SECONDS = 4L
private const val FAULT_KINDS = 6
private const val LOST_ANSWERS = 0.2
private const val CALLER_TRIES = 8
private const val PERCENT = 100.0
private const val MAY_HAVE_RUN_LIMIT = 1.0

/**
 * Sends requests that may not be repeated, each key to one or two routers at once and again after a refusal, while
 * the store loses answers, writes late or is out, routers end between any two steps, and services answer nothing.
 * Counts what truly ran against what callers were told.
 */
internal class AtMostOnce(private val options: MeasureOptions) {
    private val simulation = Simulation(options.seed)
    private val stores = List(SHARDS) { FakeStore(simulation) }
    private val traffic =
        FakeClaimTraffic(simulation, List(options.routers) { stores.map { FakeClaimShard(simulation, it) } })
    private var sent = 0L
    private var ending = false

    fun run(): MeasureReport {
        arrive()
        simulation.every(Duration.ofSeconds(FAULT_SECONDS)) {
            changeFault()
            sent < options.steps
        }
        simulation.runFor(Duration.ofMillis(GAP_MILLISECONDS).multipliedBy(options.steps).plusSeconds(SETTLE_SECONDS))
        return report()
    }

    private fun arrive() {
        simulation.after(simulation.exponential(Duration.ofMillis(GAP_MILLISECONDS))) {
            sent += 1
            val key = ClaimKey(TeamName("team-1"), "once-$sent")
            traffic.receive(key, CALLER_TRIES)
            if (simulation.chance(TWICE_AT_ONCE)) {
                traffic.receive(key, triesLeft = 1)
            }
            if (sent < options.steps) {
                arrive()
            }
        }
    }

    private fun changeFault() {
        val kind = simulation.random.nextInt(FAULT_KINDS)
        traffic.faulty = kind > 0
        traffic.silentServiceProbability = if (kind == SILENT) SILENT_SERVICES else 0.0
        ending = kind == ENDING
        val plan = when (kind) {
            1 -> FakeStoreFaults(lostResponseProbability = LOST_ANSWERS)
            2 -> FakeStoreFaults(lateWriteProbability = LOST_ANSWERS)
            OUTAGE -> FakeStoreFaults(outage = true)
            else -> FakeStoreFaults()
        }
        stores.forEach { it.faults = plan }
        if (ending) {
            simulation.every(Duration.ofMillis(ENDING_MILLISECONDS)) {
                traffic.killRouter(simulation.random.nextInt(options.routers))
                ending
            }
        }
    }

    private fun report(): MeasureReport {
        val twice = traffic.runTwice
        val untrue = traffic.falseNotRun
        val share = PERCENT * traffic.mayHaveRun / traffic.sentWhileFaulty.coerceAtLeast(1)
        val writes = stores.sumOf { it.writes }
        val figures = listOf(
            Figure("keys", sent.toDouble(), "keys"),
            Figure("receipts", traffic.count.toDouble(), "requests"),
            Figure("answered", traffic.answered.toDouble(), "requests"),
            Figure("run twice", twice.toDouble(), "keys"),
            Figure("false \"not run\"", untrue.toDouble(), "attempts"),
            Figure("told \"may have run\"", traffic.mayHaveRun.toDouble(), "requests"),
            Figure("writes for each key", rounded(writes.toDouble() / sent), "writes"),
        )
        val targets = listOf(
            Target.atMost("run twice", twice.toDouble(), 0.0, "keys"),
            Target.atMost("false \"not run\"", untrue.toDouble(), 0.0, "attempts"),
            Target.atMost("\"may have run\" of those sent in faults", rounded(share), MAY_HAVE_RUN_LIMIT, "percent"),
        )
        return MeasureReport.of("at-most-once", options, twice + untrue, figures, targets)
    }

    private companion object {
        const val OUTAGE = 3
        const val ENDING = 4
        const val SILENT = 5
        const val SILENT_SERVICES = 0.02
        const val TWICE_AT_ONCE = 0.3
        const val ENDING_MILLISECONDS = 500L
        const val SETTLE_SECONDS = 60L
    }
}
