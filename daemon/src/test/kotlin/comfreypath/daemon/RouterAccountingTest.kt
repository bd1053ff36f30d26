package comfreypath.daemon

import comfreypath.daemon.demo.PlatformCaller
import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.router.telemetry.RouterMetrics
import comfreypath.transport.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.time.Duration
import kotlin.random.Random

private const val CLIENTS = 12
private const val CHANGES = 12
private const val CHANGE_INTERVAL_MILLISECONDS = 80L
private const val SERIES = 4

/** Guards against requests that a router reads and neither answers nor refuses beside planned work. */
class RouterAccountingTest {
    private val seed = System.getProperty("seed")?.toLong() ?: 1_000L
    private var sent = 0

    private fun total(metrics: RouterMetrics, name: String): Int = metrics.prometheusText().decodeToString().lines()
        .filter { it.startsWith(name) }
        .sumOf { it.substringAfterLast(' ').toDouble().toInt() }

    /** Expects that each request that was read was answered or refused, unless its client left. */
    private suspend fun PlatformFixture.expectAccounted(metrics: RouterMetrics) {
        eventually("all requests are accounted for") {
            val answered = total(metrics, "comfreypath_responses_written_total")
            total(metrics, "comfreypath_requests_read_total") ==
                answered + total(metrics, "comfreypath_requests_unanswered_total")
        }
        expectThat(total(metrics, "comfreypath_responses_written_total")).isGreaterThan(CLIENTS)
        expectThat(total(metrics, "comfreypath_requests_unanswered_total")).describedAs("unanswered, seed $seed")
            .isEqualTo(total(metrics, "comfreypath_requests_unanswered_total{reason=\"client_closed\"}"))
    }

    private fun request(random: Random): PlatformRequest {
        val id = "a-$seed-${sent++}"
        return when (random.nextInt(6)) {
            0 -> PlatformRequest("nowhere", id)
            1 -> PlatformRequest("book", id, body = ByteArray(random.nextInt(1, 20_000)))
            2 -> PlatformRequest("draft", id, tokens = "1612,${random.nextInt(7, 140)}")
            3 -> PlatformRequest("history", id, key = "nobody's")
            else -> PlatformRequest("history", id)
        }
    }

    /** Sends requests one after another; leaves one in twenty before its answer. */
    private fun PlatformFixture.startClients(scope: CoroutineScope): List<Job> = List(CLIENTS) { number ->
        val random = Random(seed + number)
        val address = fleet.routers.single().options.callerAddress
        val caller = PlatformCaller(fleet.callerLoop)
        scope.launch(fleet.callerLoop.dispatcher()) {
            while (isActive) {
                val patience = if (random.nextInt(20) == 0) random.nextLong(1, 10) else 10_000L
                withTimeoutOrNull(patience) { caller.call(address, request(random)) }
                delay(random.nextLong(5))
            }
        }
    }

    private suspend fun PlatformFixture.changeConfiguration(number: Int) =
        fleet.storeAdmin.updateConfiguration { configuration ->
            val idleTimeout = Duration.ofMillis(if (number % 2 == 0) 150 else 2_000)
            configuration.copy(limits = configuration.limits.copy(idleTimeout = idleTimeout))
        }

    private suspend fun PlatformFleet.RunningRouter.reloadInSeries(number: Int) = withContext(loop.dispatcher()) {
        repeat(SERIES) { router.reload(options.copy(maxConnections = 200 + number + it), "test") }
    }

    @Test
    fun `each request is answered beside changes of the configuration, reloads and a stop`() = PlatformFixture().run {
        val running = fleet.routers.single()
        withContext(fleet.callerLoop.dispatcher()) {
            val clients = startClients(this)
            repeat(CHANGES) {
                changeConfiguration(it)
                running.reloadInSeries(it)
                delay(CHANGE_INTERVAL_MILLISECONDS)
            }
            fleet.stopRouter(running)
            clients.forEach { it.cancel() }
            clients.joinAll()
        }
        expectAccounted(running.router.routerMetrics)
    }
}
