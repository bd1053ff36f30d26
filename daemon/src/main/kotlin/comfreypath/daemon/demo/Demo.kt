package comfreypath.daemon.demo

import comfreypath.coordination.model.DataCentreName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.time.Duration

private const val LOAD_SECONDS = 24L
private const val STEP_SECONDS = 6L
private const val SAMPLE_MILLISECONDS = 50L
private const val SAMPLES_PER_WINDOW = 60
private const val BALANCER_MILLISECONDS = 250L
private const val MILLISECONDS_PER_SECOND = 1_000.0

/**
 * Runs a whole fleet under load while a data centre goes out and comes back and a router is replaced.
 *
 * @property progress is told each step
 */
class Demo(private val seed: Long, private val chats: Int, private val progress: (String) -> Unit) {
    private val options = LocalFleetOptions()
    private val fleet = LocalFleet(options)
    private val sampler = LoadSampler(SAMPLES_PER_WINDOW)
    private var usable = emptyList<LocalFleet.RunningRouter>()
    private var outOfService: DataCentreName? = null

    /** Runs to the end and tells what was seen. */
    suspend fun run(): DemoReport {
        progress(
            "starting ${options.routers} routers, ${options.engines} engines and ${options.services} booking servers"
        )
        fleet.start()
        usable = fleet.routers
        val load = DemoLoad(fleet, options.teams, seed) { usable.map { it.options.callerAddress } }
        val controlBytes = underLoad(load)
        fleet.stop()
        return report(load.tally, controlBytes)
    }

    private suspend fun underLoad(load: DemoLoad): Double = coroutineScope {
        val background = listOf(keepBalancing(), keepSampling())
        val before = controlBytes()
        val startedAt = System.nanoTime()
        val changes = launch { changes() }
        load.run(chats, Duration.ofSeconds(LOAD_SECONDS))
        changes.join()
        val elapsed = Duration.ofNanos(System.nanoTime() - startedAt).toMillis() / MILLISECONDS_PER_SECOND
        val worst = controlBytes().maxOf { (name, bytes) -> (bytes - (before[name] ?: 0)) / elapsed }
        background.forEach { it.cancel() }
        worst
    }

    private fun controlBytes(): Map<String, Long> =
        fleet.routers.associate { it.options.name.text to it.router.routerMetrics.controlBytesTotal() }

    private suspend fun changes() {
        delay(Duration.ofSeconds(STEP_SECONDS).toMillis())
        val dataCentre = fleet.layout.dataCentre(1)
        progress("taking $dataCentre out of service")
        setInService(dataCentre, inService = false)
        delay(Duration.ofSeconds(STEP_SECONDS).toMillis())
        progress("bringing $dataCentre back")
        setInService(dataCentre, inService = true)
        delay(Duration.ofSeconds(STEP_SECONDS).toMillis())
        replaceRouter()
    }

    private suspend fun replaceRouter() {
        val old = fleet.routers.first()
        progress("replacing ${old.options.name} gracefully")
        val replacement = fleet.startRouter(old.options.dataCentre)
        fleet.stopRouter(old.options.name)
        progress("${old.options.name} has left; ${replacement.options.name} takes its place")
    }

    private suspend fun setInService(name: DataCentreName, inService: Boolean) {
        outOfService = name.takeUnless { inService }
        fleet.setEvacuated(name, evacuated = !inService)
    }

    /** Plays the balancer: it notices after a while which routers are ready. */
    private fun CoroutineScope.keepBalancing(): Job = launch {
        while (true) {
            usable = fleet.routers.filter { fleet.isReady(it) }.ifEmpty { usable }
            delay(BALANCER_MILLISECONDS)
        }
    }

    private fun CoroutineScope.keepSampling(): Job = launch {
        while (true) {
            val inService = fleet.engines.filter { it.endpoint.dataCentre != outOfService }
            sampler.sample(inService.associate { it.endpoint.name.text to it.engine.inFlight })
            delay(SAMPLE_MILLISECONDS)
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
