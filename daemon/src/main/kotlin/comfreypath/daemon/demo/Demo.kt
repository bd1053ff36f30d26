package comfreypath.daemon.demo

import comfreypath.coordination.model.DataCentreName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.time.Duration

private const val LOAD_SECONDS = 24L
private const val SCENARIO_STEP_SECONDS = 6L
private const val SAMPLE_INTERVAL_MILLISECONDS = 50L
private const val SAMPLES_PER_WINDOW = 60
private const val READINESS_POLL_MILLISECONDS = 250L
private const val MILLISECONDS_PER_SECOND = 1_000.0

/**
 * Runs a whole fleet under load while a data centre is evacuated and brought back and a router is replaced.
 *
 * @property progress receives a description of each step
 */
class Demo(private val seed: Long, private val chats: Int, private val progress: (String) -> Unit) {
    private val options = LocalFleetOptions()
    private val fleet = LocalFleet(options)
    private val sampler = LoadSampler(SAMPLES_PER_WINDOW)
    private var usableRouters = emptyList<LocalFleet.RunningRouter>()
    private var evacuatedDataCentre: DataCentreName? = null

    /** Runs the demo to its end and reports the results. */
    suspend fun run(): DemoReport {
        progress(
            "starting ${options.routers} routers, ${options.engines} engines and ${options.services} booking servers"
        )
        fleet.start()
        usableRouters = fleet.routers
        val load = DemoLoad(fleet, options.teams, seed) { usableRouters.map { it.options.callerAddress } }
        val controlBytes = runUnderLoad(load)
        fleet.stop()
        return report(load.tally, controlBytes)
    }

    private suspend fun runUnderLoad(load: DemoLoad): Double = coroutineScope {
        val backgroundJobs = listOf(pollReadiness(), sampleLoads())
        val before = controlBytes()
        val startedAt = System.nanoTime()
        val scenario = launch { runScenario() }
        load.run(chats, Duration.ofSeconds(LOAD_SECONDS))
        scenario.join()
        val elapsedSeconds = Duration.ofNanos(System.nanoTime() - startedAt).toMillis() / MILLISECONDS_PER_SECOND
        val busiest = controlBytes().maxOf { (name, bytes) -> (bytes - (before[name] ?: 0)) / elapsedSeconds }
        backgroundJobs.forEach { it.cancel() }
        busiest
    }

    private fun controlBytes(): Map<String, Long> =
        fleet.routers.associate { it.options.name.text to it.router.routerMetrics.controlBytesTotal() }

    private suspend fun runScenario() {
        delay(Duration.ofSeconds(SCENARIO_STEP_SECONDS).toMillis())
        val dataCentre = fleet.layout.dataCentre(1)
        progress("taking $dataCentre out of service")
        setInService(dataCentre, inService = false)
        delay(Duration.ofSeconds(SCENARIO_STEP_SECONDS).toMillis())
        progress("bringing $dataCentre back into service")
        setInService(dataCentre, inService = true)
        delay(Duration.ofSeconds(SCENARIO_STEP_SECONDS).toMillis())
        replaceRouter()
    }

    private suspend fun replaceRouter() {
        val old = fleet.routers.first()
        progress("replacing ${old.options.name} gracefully")
        val replacement = fleet.startRouter(old.options.dataCentre)
        fleet.stopRouter(old.options.name)
        progress("${old.options.name} has stopped; ${replacement.options.name} replaces it")
    }

    private suspend fun setInService(name: DataCentreName, inService: Boolean) {
        evacuatedDataCentre = name.takeUnless { inService }
        fleet.setEvacuated(name, evacuated = !inService)
    }

    /** Acts as the load balancer, which notices changes of readiness after a delay. */
    private fun CoroutineScope.pollReadiness(): Job = launch {
        while (true) {
            usableRouters = fleet.routers.filter { fleet.isReady(it) }.ifEmpty { usableRouters }
            delay(READINESS_POLL_MILLISECONDS)
        }
    }

    private fun CoroutineScope.sampleLoads(): Job = launch {
        while (true) {
            val inService = fleet.engines.filter { it.endpoint.dataCentre != evacuatedDataCentre }
            sampler.sample(inService.associate { it.endpoint.name.text to it.engine.inFlight })
            delay(SAMPLE_INTERVAL_MILLISECONDS)
        }
    }

    private fun report(tally: CallerTally, controlBytes: Double): DemoReport {
        val runs = fleet.services.flatMap { it.service.counts().runs.entries }
            .groupBy({ it.key }, { it.value })
            .mapValues { it.value.sum() }
        return DemoReport(
            sent = tally.sent,
            answered = tally.answered,
            refusedNotRun = tally.refusedNotRun,
            mayHaveRun = tally.mayHaveRun,
            lost = tally.lost,
            crossed = tally.crossed,
            duplicateRuns = runs.values.count { it > 1 },
            cacheReuse = if (tally.reusableTokens == 0L) 0.0 else tally.reusedTokens.toDouble() / tally.reusableTokens,
            maxToMeanLoad = sampler.maxToMeanRatio,
            controlBytesPerSecondPerRouter = controlBytes,
            violations = fleet.violations.size,
        )
    }
}
