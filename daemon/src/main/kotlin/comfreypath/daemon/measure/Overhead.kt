package comfreypath.daemon.measure

import com.github.michaelbull.result.getOrElse
import com.sun.management.OperatingSystemMXBean
import comfreypath.daemon.demo.LocalFleet
import comfreypath.daemon.demo.LocalFleetOptions
import comfreypath.openai.ChatCompletionRequest
import comfreypath.openai.ChatMessage
import comfreypath.openai.OpenAiHeaders
import comfreypath.standins.EngineOptions
import comfreypath.transport.Address
import comfreypath.transport.HttpClient
import comfreypath.transport.OutgoingRequest
import comfreypath.transport.ResponsePart
import comfreypath.transport.dispatcher
import comfreypath.transport.wireJson
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import java.lang.management.ManagementFactory
import java.time.Duration

private const val ROUTERS = 1
private const val SLOTS = 64
private const val TOKENS = 8
private const val WARM_UP_REQUESTS = 3_000
private const val MAX_LATENCY_MICROSECONDS = 60_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val NANOSECONDS_PER_MICROSECOND = 1_000L
private const val MICROSECONDS_PER_SECOND = 1_000_000L
private const val BATCHES_PER_SECOND = 100L
private const val ROUNDS = 3
private const val RAMP_SECONDS = 4L

/**
 * The cost of requests on one path to the engine.
 *
 * @property whole the time to the complete response
 * @property firstPiece the time to the first chunk
 * @property processorMicroseconds the processor time per request, of callers, routers and engine together
 */
@Serializable
data class PathCost(
    val whole: LatencySummary,
    val firstPiece: LatencySummary,
    val requestsPerSecond: Double,
    val processorMicroseconds: Double,
)

/**
 * The latency that a router adds.
 *
 * @property added the time added to the complete response
 * @property addedToFirstPiece the time added to the first chunk
 * @property targetMilliseconds the limit for the added time at the 99th percentile
 */
@Serializable
data class OverheadReport(
    val direct: PathCost,
    val throughRouter: PathCost,
    val added: LatencySummary,
    val addedToFirstPiece: LatencySummary,
    val targetMilliseconds: Double,
    val met: Boolean,
)

/**
 * Sends the same load directly to an engine and through a router, in alternating rounds of one run.
 *
 * @param seconds the duration of the load on each path
 */
class Overhead(private val requestsPerSecond: Int, private val seconds: Int) {
    private val options = LocalFleetOptions(
        dataCentres = 1,
        routers = ROUTERS,
        engines = 1,
        services = 0,
        teams = 1,
        threads = ROUTERS + 2,
        engine = EngineOptions(slots = SLOTS, tokenTime = Duration.ofMillis(1), prefillTime = Duration.ZERO),
    )
    private val fleet = LocalFleet(options)
    private val client = HttpClient(fleet.callerLoop)
    private val operatingSystem = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean

    private class Samples {
        val completeResponse = Histogram(MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
        val firstChunk = Histogram(MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
        var processorNanoseconds = 0L
        var elapsedNanoseconds = 0L

        fun cost() = PathCost(
            whole = LatencySummary.of(completeResponse),
            firstPiece = LatencySummary.of(firstChunk),
            requestsPerSecond = completeResponse.totalCount * MICROSECONDS_PER_SECOND *
                NANOSECONDS_PER_MICROSECOND.toDouble() / elapsedNanoseconds,
            processorMicroseconds = processorNanoseconds / NANOSECONDS_PER_MICROSECOND.toDouble() /
                completeResponse.totalCount,
        )
    }

    /** Runs the measurement and reports the costs. */
    suspend fun run(): OverheadReport {
        fleet.start()
        delay(Duration.ofSeconds(RAMP_SECONDS).toMillis())
        val engine = fleet.engines.single().endpoint
        val router = fleet.routers.first().options.callerAddress
        val paths = listOf(Address(engine.host, engine.port), router).map { it to Samples() }
        paths.forEach { (address, _) -> sendLoad(address, Samples(), WARM_UP_REQUESTS) }
        repeat(ROUNDS) {
            paths.forEach { (address, samples) -> sendLoad(address, samples, requestsPerSecond * seconds / ROUNDS) }
        }
        fleet.stop()
        val (direct, routed) = paths.map { it.second.cost() }
        return report(direct, routed)
    }

    private fun report(direct: PathCost, routed: PathCost): OverheadReport {
        val added = routed.whole - direct.whole
        return OverheadReport(
            direct = direct,
            throughRouter = routed,
            added = added,
            addedToFirstPiece = routed.firstPiece - direct.firstPiece,
            targetMilliseconds = TARGET_MILLISECONDS,
            met = added.at99 <= TARGET_MILLISECONDS,
        )
    }

    private suspend fun sendLoad(address: Address, samples: Samples, requests: Int) =
        withContext(fleet.callerLoop.dispatcher()) {
            val processorTimeBefore = operatingSystem.processCpuTime
            val startedAt = System.nanoTime()
            coroutineScope {
                val batchSize = (requestsPerSecond / BATCHES_PER_SECOND).toInt().coerceAtLeast(1)
                for (batchStart in 0 until requests step batchSize) {
                    repeat(batchSize) { launch { sendRequest(address, samples, batchStart + it) } }
                    delay(Duration.ofSeconds(1).dividedBy(BATCHES_PER_SECOND).toMillis())
                }
            }
            samples.elapsedNanoseconds += System.nanoTime() - startedAt
            samples.processorNanoseconds += operatingSystem.processCpuTime - processorTimeBefore
        }

    private suspend fun sendRequest(address: Address, samples: Samples, number: Int) {
        val chat = ChatCompletionRequest(
            model = fleet.layout.model,
            messages = listOf(ChatMessage("user", "question $number")),
            stream = true,
            maxTokens = TOKENS,
        )
        val headers = mapOf(
            "authorization" to "Bearer ${fleet.layout.apiKey(0)}",
            OpenAiHeaders.REQUEST_ID to "direct-$number-${System.nanoTime()}",
        )
        val body = wireJson.encodeToString(chat).encodeToByteArray()
        val startedAt = System.nanoTime()
        val exchange = client.exchange(address, OutgoingRequest(HttpMethod.POST, PATH, headers, body))
            .getOrElse { error("no response: $it") }
        check(exchange.status == OK_STATUS) { "status ${exchange.status} from $address" }
        var part = exchange.next()
        samples.firstChunk.recordValue((System.nanoTime() - startedAt) / NANOSECONDS_PER_MICROSECOND)
        while (part is ResponsePart.Bytes) {
            part = exchange.next()
        }
        check(part is ResponsePart.End) { "the response was truncated" }
        samples.completeResponse.recordValue((System.nanoTime() - startedAt) / NANOSECONDS_PER_MICROSECOND)
    }

    private companion object {
        const val TARGET_MILLISECONDS = 2.0
        const val PATH = "/v1/chat/completions"
        const val OK_STATUS = 200
    }
}
