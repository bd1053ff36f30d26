package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import comfreypath.standins.PlatformServerStandIn
import comfreypath.transport.ClientResponse
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

private const val SEED = 39
private const val SENDING = "X-Test-Sending"
private const val RUN_MILLISECONDS = 40L
private const val COPY_DELAY_MILLISECONDS = 2L
private const val LATE_COPY_DELAY_MILLISECONDS = 15L
private const val SHED_SHARE = 0.5
private const val FAILED_SHARE = 0.25

/** The statuses that promise that a request has not run. */
private val PROMISES = setOf(408, 421, 429, 503)

/** One sending of a request by its caller, who repeats the request with the same [id] after a promise. */
private data class Sending(val id: String, val number: Int) {
    val booking: Boolean get() = id.startsWith("book")
}

/** A run of [sending] at [server], which ended with [status]. */
private data class Run(val mark: String, val sending: Sending, val server: Int, val status: Int)

/** What the caller of [sending] was told. [mark] names the run that the answer comes from; null if there is none. */
private data class Told(val sending: Sending, val status: Int?, val mark: String?)

/** What the servers ran and what the callers were told. */
private class Record(val runs: List<Run>, val told: List<Told>) {
    private val runsOf = runs.groupBy { it.sending }
    private val runsByMark = runs.associateBy { it.mark }

    /** The bookings that were told that they had not run, and ran. */
    val refused: List<Told>
        get() = told.filter { it.sending.booking && it.status in PROMISES && runsOf[it.sending] != null }

    /** The bookings that ran more than once. */
    val twice: List<List<Run>> get() = runsOf.values.filter { it.first().sending.booking && it.size > 1 }

    /** The successes that come from no run, and the answers of runs that ended otherwise or are another sending's. */
    val mixed: List<Pair<Told, Run?>>
        get() = told.map { it to runsByMark[it.mark] }.filter { (told, run) ->
            if (run == null) {
                told.mark != null || told.status in SUCCESSES
            } else {
                run.sending != told.sending || run.status != told.status
            }
        }

    private companion object {
        val SUCCESSES = 200..299
    }
}

/**
 * A server that sheds half of the requests. When a request comes again on a connection on which it was refused, the
 * server sends that refusal once more, and then runs the request.
 */
private class StutteringServer(private val number: Int) {
    private val earlierRefusals = ConcurrentHashMap<Socket, MutableMap<String, String>>()
    val runs = ConcurrentLinkedQueue<Run>()
    val refusals = AtomicInteger()

    val raw = RawEndpoint { request, socket ->
        socket.receive(request.bodyLength)
        val random = Random("$SEED ${request.id} ${request.header(SENDING)} $number".hashCode())
        val shed = random.nextDouble() < SHED_SHARE && !request.id.startsWith("probe")
        val earlier = earlierRefusals.computeIfAbsent(socket) { ConcurrentHashMap() }
        val copy = earlier[request.id]
        if (shed && copy == null) {
            val refusal = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Attempt-Id: ${request.id}\r\n" +
                "Content-Length: 0\r\n\r\n"
            earlier[request.id] = refusal
            refusals.incrementAndGet()
            socket.send(refusal)
        } else {
            run(request, socket, copy, random)
        }
    }

    private fun run(request: RawRequest, socket: Socket, copy: String?, random: Random) {
        val status = if (random.nextDouble() < FAILED_SHARE) 500 else 200
        val sending = Sending(request.id, request.header(SENDING)?.toInt() ?: 0)
        val run = Run("run-$number-${runs.size}-${request.id}", sending, number, status)
        runs += run
        val copyDelay = if (random.nextBoolean()) COPY_DELAY_MILLISECONDS else LATE_COPY_DELAY_MILLISECONDS
        Thread.sleep(copyDelay)
        copy?.let { socket.send(it) }
        Thread.sleep(RUN_MILLISECONDS - copyDelay)
        socket.send(
            "HTTP/1.1 $status Run\r\nX-Attempt-Id: ${request.id}\r\n" +
                "X-Response-Seal: ${PlatformServerStandIn.signature(request.id)}\r\n" +
                "Content-Length: ${run.mark.length}\r\n\r\n${run.mark}",
        )
    }

    /** The number of times that a request came to this server although it had refused an earlier sending of it. */
    fun returns(): Int {
        val refusedIds = earlierRefusals.values.flatMap { it.keys }.toSet()
        return raw.requests.filter { it.id in refusedIds }.groupBy { it.id }.values.sumOf { it.size - 1 }
    }
}

/** Servers that send refusals once more under load must not break what callers are told about their requests. */
class CopiedRefusalLoadTest {
    private val servers = List(SERVERS) { StutteringServer(it) }
    private val told = ConcurrentLinkedQueue<Told>()

    private suspend fun PlatformFixture.useStutteringServers() {
        fleet.plainServers.zip(servers).forEach { (running, server) ->
            val address = server.raw.address
            fleet.storeAdmin.updateRegistration(running.endpoint.copy(host = address.host, port = address.port))
        }
        var probes = 0
        eventually("requests of all routers at the stuttering servers only") {
            val ids = fleet.routers.indices.flatMap { router ->
                List(PROBES) { "probe-${probes++}".also { id -> call(PlatformRequest("history", id), router) } }
            }
            ids.all { requestsSeen(it).isEmpty() }
        }
    }

    /** Sends a request, and again with the same ID while the caller is promised that it has not run. */
    private suspend fun PlatformFixture.sendUntilRun(id: String, router: Int) {
        var number = 0
        do {
            val sending = Sending(id, number)
            val body = ByteArray(if (sending.booking) 1 else 0)
            val route = if (sending.booking) "book" else "history"
            val headers = mapOf(SENDING to "$number")
            val answer = call(PlatformRequest(route, id, headers = headers, body = body), router)
            told += Told(sending, answer?.status, answer?.mark())
            number += 1
            delay(PAUSE_MILLISECONDS)
        } while (answer?.status in PROMISES && number < SENDINGS)
    }

    private fun ClientResponse.mark(): String? = text().takeIf { headers.contains(PlatformHeaders.SIGNATURE) }

    @Test
    fun `copies of refusals do not deceive callers that send again with the same id`() =
        PlatformFixture(routers = ROUTERS, plainServers = SERVERS).run {
            try {
                useStutteringServers()
                coroutineScope {
                    repeat(CALLERS) { caller ->
                        launch {
                            repeat(REQUESTS) { request ->
                                val kind = if ((caller + request) % 2 == 0) "book" else "read"
                                sendUntilRun("$kind-$caller-$request", caller % ROUTERS)
                            }
                        }
                    }
                }
                delay(SETTLING_MILLISECONDS)
                val record = Record(servers.flatMap { it.runs }, told.toList())
                expectThat(servers.sumOf { it.refusals.get() }).isGreaterThan(REFUSALS)
                expectThat(servers.sumOf { it.returns() }).isGreaterThan(RETURNS)
                expectThat(record.refused).describedAs("bookings that were refused and ran").isEmpty()
                expectThat(record.twice).describedAs("bookings that ran twice").isEmpty()
                expectThat(record.mixed).describedAs("answers that are not those of the sending's run").isEmpty()
            } finally {
                servers.forEach { it.raw.close() }
            }
        }

    private companion object {
        const val ROUTERS = 3
        const val SERVERS = 3
        const val CALLERS = 24
        const val REQUESTS = 20
        const val SENDINGS = 5
        const val PROBES = 3
        const val PAUSE_MILLISECONDS = 5L
        const val SETTLING_MILLISECONDS = 300L

        /** Fewer would show that the servers hardly shed, or that hardly any request came again after that. */
        const val REFUSALS = 200
        const val RETURNS = 100
    }
}
