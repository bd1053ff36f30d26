package comfreypath.transport

import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.io.IOException
import java.time.Duration
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

private const val CLIENTS = 24
private const val ROUNDS = 20
private const val MAX_PIPELINED = 6
private const val STREAM_CHUNKS = 12
private const val CHUNK_BYTES = 40_000

/** More than fits into the buffers of the operating system. */
private const val LARGE_BODY_BYTES = 8_000_000

/** Guards against requests that are read completely and get neither an answer nor a refusal. */
class RequestAccountingTest {
    private val paths = List(5) { "/short" } + List(5) { "/slow" } + List(3) { "/stream" } + "/large"
    private val largeBody = ByteArray(LARGE_BODY_BYTES)

    private class ClientCounts {
        val answered = AtomicInteger()
        val truncated = AtomicInteger()
        val abandoned = AtomicInteger()
        val withoutResponse = AtomicInteger()
    }

    private suspend fun handle(request: IncomingRequest, writer: ResponseWriter) = when (request.path) {
        "/short" -> writer.respond(HttpResponseStatus.OK, emptyMap(), ByteArray(CHUNK_BYTES))
        "/large" -> writer.respond(HttpResponseStatus.OK, emptyMap(), largeBody)
        "/slow" -> {
            delay(5)
            writer.respond(HttpResponseStatus.OK, emptyMap(), "ok".encodeToByteArray())
        }
        else -> {
            writer.start(HttpResponseStatus.OK, emptyMap())
            repeat(STREAM_CHUNKS) { writer.writeChunk(ByteArray(CHUNK_BYTES) { 'a'.code.toByte() }) }
            writer.end()
        }
    }

    /**
     * Sends bursts of pipelined requests over one connection after another; reads slowly, or leaves, at random. The
     * requests of a burst arrive together unless [spread] is true.
     */
    private fun runClient(address: Address, random: Random, spread: Boolean, counts: ClientCounts) {
        var client: RawClient? = null
        repeat(ROUNDS) {
            val current = client ?: RawClient(address, receiveBuffer = if (random.nextBoolean()) 8_192 else null)
            client = current.takeIf { runBurst(it, random, spread, counts) }
            if (client == null) current.close()
        }
        client?.close()
    }

    /** Returns whether the connection can be used for another burst. */
    private fun runBurst(client: RawClient, random: Random, spread: Boolean, counts: ClientCounts): Boolean {
        val requests = List(random.nextInt(1, MAX_PIPELINED)) { paths.random(random) }
        val leaves = random.nextInt(10) == 0
        return try {
            if (spread && random.nextBoolean()) {
                requests.forEach { client.get(it) }
            } else {
                client.send(requests.joinToString("") { "GET $it HTTP/1.1\r\nHost: a\r\n\r\n" })
            }
            if (leaves) {
                counts.abandoned.addAndGet(requests.size)
                false
            } else {
                requests.indices.all { readResponse(client, random, requests.size - it, counts) }
            }
        } catch (_: IOException) {
            counts.withoutResponse.incrementAndGet()
            false
        }
    }

    private fun readResponse(client: RawClient, random: Random, outstanding: Int, counts: ClientCounts): Boolean {
        if (random.nextInt(4) == 0) Thread.sleep(random.nextLong(10))
        val response = client.read()
        when {
            response == null -> counts.withoutResponse.addAndGet(outstanding)
            !response.complete -> counts.truncated.incrementAndGet()
            else -> counts.answered.incrementAndGet()
        }
        val kept = response?.complete == true && response.headers["connection"] != "close"
        if (response?.complete == true && !kept) counts.withoutResponse.addAndGet(outstanding - 1)
        return kept
    }

    private fun runClients(
        fixture: ServerFixture,
        seed: Long,
        spread: Boolean = true,
        during: () -> Unit = {},
    ): ClientCounts {
        val counts = ClientCounts()
        val threads = Executors.newFixedThreadPool(CLIENTS)
        val clients = List(CLIENTS) { number ->
            threads.submit { runClient(fixture.address, Random(seed + number), spread, counts) }
        }
        during()
        clients.forEach { it.get(1, TimeUnit.MINUTES) }
        threads.shutdown()
        return counts
    }

    private fun ServerFixture.expectReasons(seed: Long) {
        expectThat(unanswered.map { it.reason }.toSet() - UnansweredReason.CLIENT_CLOSED)
            .describedAs("seed $seed").isEqualTo(emptySet())
    }

    private fun seeds() = System.getProperty("seed")?.let { listOf(it.toLong()) } ?: listOf(1_000L, 2_000L)

    @Test
    fun `each request is answered unless its client leaves`() = seeds().forEach { seed ->
        ServerFixture(handler = ::handle).run {
            val counts = runClients(this, seed)
            awaitAccounts()
            expectReasons(seed)
            expectThat(counts.truncated.get() + counts.withoutResponse.get()).describedAs("seed $seed").isEqualTo(0)
            expectThat(unanswered.size).describedAs("seed $seed").isLessThan(counts.abandoned.get() + 1)
        }
    }

    @Test
    fun `closing idle connections and changing timeouts cost no request its answer`() = seeds().forEach { seed ->
        ServerFixture(HttpServerOptions(idleTimeout = Duration.ofMillis(200)), ::handle).run {
            val counts = runClients(this, seed) {
                repeat(40) {
                    onLoop { server.closeIdle() }
                    options = options.copy(idleTimeout = Duration.ofMillis(if (it % 2 == 0) 100 else 400))
                    Thread.sleep(10)
                }
            }
            awaitAccounts()
            expectReasons(seed)
            expectThat(counts.truncated.get()).describedAs("seed $seed").isEqualTo(0)
            expectThat(unanswered.size).describedAs("seed $seed").isLessThan(counts.abandoned.get() + 1)
        }
    }

    @Test
    fun `requests that were read before the server closes its connections are answered`() = seeds().forEach { seed ->
        ServerFixture(handler = ::handle).run {
            val counts = runClients(this, seed, spread = false) {
                Thread.sleep(100)
                onLoop { server.closeAfterResponse = true }
            }
            awaitAccounts()
            expectReasons(seed)
            expectThat(counts.truncated.get()).describedAs("seed $seed").isEqualTo(0)
        }
    }
}
