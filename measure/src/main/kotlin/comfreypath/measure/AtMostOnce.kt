package comfreypath.measure

import comfreypath.coordination.claims.ClaimKey
import comfreypath.coordination.model.TeamName
import comfreypath.measure.fake.FakeClaimShard
import comfreypath.measure.fake.FakeClaimTraffic
import comfreypath.measure.fake.FakeStore
import comfreypath.measure.fake.FakeStoreFaults
import comfreypath.measure.fake.Simulation
import java.time.Duration

private const val SHARD_COUNT = 64
private const val MEAN_INTERVAL_MILLISECONDS = 5L
private const val FAULT_INTERVAL_SECONDS = 4L
private const val FAULT_KIND_COUNT = 6
private const val STORE_FAULT_PROBABILITY = 0.2
private const val MAX_CALLER_TRIES = 8
private const val PERCENT = 100.0
private const val MAX_MAY_HAVE_RUN_PERCENT = 1.0

/**
 * Sends non-idempotent requests, each key to one or two routers concurrently and again after a refusal. Meanwhile the
 * store loses responses, applies writes late or has an outage, routers are killed between any two steps, and services
 * do not respond. Compares the requests that ran with the outcomes reported to callers.
 */
internal class AtMostOnce(private val options: MeasureOptions) {
    private val simulation = Simulation(options.seed)
    private val stores = List(SHARD_COUNT) { FakeStore(simulation) }
    private val traffic =
        FakeClaimTraffic(simulation, List(options.routers) { stores.map { FakeClaimShard(simulation, it) } })
    private var sent = 0L
    private var killingRouters = false

    fun run(): MeasureReport {
        scheduleArrival()
        simulation.every(Duration.ofSeconds(FAULT_INTERVAL_SECONDS)) {
            changeFault()
            sent < options.steps
        }
        simulation.runFor(
            Duration.ofMillis(MEAN_INTERVAL_MILLISECONDS).multipliedBy(options.steps).plusSeconds(SETTLE_SECONDS),
        )
        return report()
    }

    private fun scheduleArrival() {
        simulation.after(simulation.exponential(Duration.ofMillis(MEAN_INTERVAL_MILLISECONDS))) {
            sent += 1
            val key = ClaimKey(TeamName("team-1"), "once-$sent")
            traffic.receive(key, MAX_CALLER_TRIES)
            if (simulation.chance(CONCURRENT_DUPLICATE_PROBABILITY)) {
                traffic.receive(key, triesLeft = 1)
            }
            if (sent < options.steps) {
                scheduleArrival()
            }
        }
    }

    private fun changeFault() {
        val kind = simulation.random.nextInt(FAULT_KIND_COUNT)
        traffic.faulty = kind > 0
        traffic.silentServiceProbability = if (kind == SILENT_SERVICE) SILENT_SERVICE_PROBABILITY else 0.0
        killingRouters = kind == ROUTER_KILLS
        val storeFaults = when (kind) {
            1 -> FakeStoreFaults(lostResponseProbability = STORE_FAULT_PROBABILITY)
            2 -> FakeStoreFaults(lateWriteProbability = STORE_FAULT_PROBABILITY)
            OUTAGE -> FakeStoreFaults(outage = true)
            else -> FakeStoreFaults()
        }
        stores.forEach { it.faults = storeFaults }
        if (killingRouters) {
            simulation.every(Duration.ofMillis(KILL_INTERVAL_MILLISECONDS)) {
                traffic.killRouter(simulation.random.nextInt(options.routers))
                killingRouters
            }
        }
    }

    private fun report(): MeasureReport {
        val runTwice = traffic.runTwice
        val falseNotRun = traffic.falseNotRun
        val percent = PERCENT * traffic.mayHaveRun / traffic.sentWhileFaulty.coerceAtLeast(1)
        val writes = stores.sumOf { it.writes }
        val figures = listOf(
            Figure("keys", sent.toDouble(), "keys"),
            Figure("receipts", traffic.receivedCount.toDouble(), "requests"),
            Figure("answered", traffic.answered.toDouble(), "requests"),
            Figure("run twice", runTwice.toDouble(), "keys"),
            Figure("false \"not run\"", falseNotRun.toDouble(), "attempts"),
            Figure("told \"may have run\"", traffic.mayHaveRun.toDouble(), "requests"),
            Figure("writes for each key", rounded(writes.toDouble() / sent), "writes"),
        )
        val targets = listOf(
            Target.atMost("run twice", runTwice.toDouble(), 0.0, "keys"),
            Target.atMost("false \"not run\"", falseNotRun.toDouble(), 0.0, "attempts"),
            Target.atMost(
                "\"may have run\" of those sent in faults",
                rounded(percent),
                MAX_MAY_HAVE_RUN_PERCENT,
                "percent",
            ),
        )
        return MeasureReport.of("at-most-once", options, runTwice + falseNotRun, figures, targets)
    }

    private companion object {
        const val OUTAGE = 3
        const val ROUTER_KILLS = 4
        const val SILENT_SERVICE = 5
        const val SILENT_SERVICE_PROBABILITY = 0.02
        const val CONCURRENT_DUPLICATE_PROBABILITY = 0.3
        const val KILL_INTERVAL_MILLISECONDS = 500L
        const val SETTLE_SECONDS = 60L
    }
}
